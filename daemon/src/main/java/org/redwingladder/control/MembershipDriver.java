package org.redwingladder.control;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.undertow.util.Methods;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;
import org.redwingladder.membership.Heartbeat;
import org.redwingladder.membership.HeartbeatAnswer;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.MemberId;
import org.redwingladder.membership.MembershipEffect;
import org.redwingladder.membership.MembershipEvent;
import org.redwingladder.membership.MembershipStateMachine;
import org.redwingladder.membership.Roster;
import org.redwingladder.membership.SiteRelease;
import org.redwingladder.platform.PlatformClient;
import org.redwingladder.supervisor.Component;

/** Runs the membership state machine on the event loop and carries out its effects. */
public final class MembershipDriver implements Component {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    // A small fraction of the shortest heartbeat interval, so that heartbeats are sent on time.
    private static final long TICK_MILLIS = 50;
    private static final long CALL_TIMEOUT_MILLIS = 1000;
    private static final int MAX_ROSTER_BYTES = 1 << 20;

    // Site owners stop without blocking; if it takes longer, the component fails.
    private static final long STOP_TIMEOUT_MILLIS = 2000;

    private final MembershipStateMachine mMachine;
    private final ClusterState mState;
    private final ControlEventLoop mLoop;
    private final AsyncHttpClient mCaller;
    private final RosterRowStore mRosterRow;
    private final MetricRegistry mMetrics;
    private final CompletableFuture<Void> mLeft = new CompletableFuture<>();
    private final CompletableFuture<String> mSuperseded = new CompletableFuture<>();
    private final Deque<EffectBatch> mPendingBatches = new ArrayDeque<>();
    private final Map<String, Integer> mInFlightAtStop = new HashMap<>();
    private Component.FailureListener mFailures = cause -> {};
    private ControlEventLoop.@Nullable PeriodicTask mPeriodicTask;
    private boolean mWaitingForSites;

    /**
     * The effects of one event, to be carried out in order.
     *
     * @param sitesStopped completes once the sites that the event stops send no more requests, with
     *     the number of requests in flight by service
     * @param effects the effects
     * @param listener receives each effect after it was carried out
     */
    private record EffectBatch(
            CompletableFuture<Map<String, Integer>> sitesStopped,
            List<MembershipEffect> effects,
            Consumer<MembershipEffect> listener) {}

    private MembershipDriver(
            MembershipStateMachine machine,
            ClusterState state,
            ControlEventLoop loop,
            AsyncHttpClient caller,
            PlatformClient platform,
            MetricRegistry metrics) {
        mMachine = machine;
        mState = state;
        mLoop = loop;
        mCaller = caller;
        mRosterRow = new RosterRowStore(platform, state.zone(), metrics);
        mMetrics = metrics;
    }

    /** Creates a driver of {@code machine}. */
    public static MembershipDriver create(
            MembershipStateMachine machine,
            ClusterState state,
            ControlEventLoop loop,
            AsyncHttpClient caller,
            PlatformClient platform,
            MetricRegistry metrics) {
        return new MembershipDriver(machine, state, loop, caller, platform, metrics);
    }

    @Override
    public String name() {
        return "roster";
    }

    @Override
    public void start(Component.FailureListener failures) {
        mFailures = failures;
        mPeriodicTask =
                mLoop.scheduleWithFixedDelay(
                        TICK_MILLIS, () -> handle(new MembershipEvent.Tick()), failures);
    }

    @Override
    public void stop() {
        if (mPeriodicTask != null) {
            mPeriodicTask.cancel();
        }
    }

    /** Completes once this process has been removed from the roster at its own request. */
    public CompletableFuture<Void> left() {
        return mLeft;
    }

    /** Completes with a message once another process has replaced this one in the roster. */
    public CompletableFuture<String> superseded() {
        return mSuperseded;
    }

    /** Submits an event to the state machine; it is handled later on the event loop. */
    public void submit(MembershipEvent input) {
        mLoop.execute(() -> handle(input), mFailures);
    }

    /** Submits the active settings of the cluster state to the state machine. */
    public void settingsChanged() {
        mLoop.execute(
                () ->
                        handle(
                                new MembershipEvent.SettingsChanged(
                                        mState.settingsVersion(), mState.servicesHere())),
                mFailures);
    }

    /** Handles a heartbeat of a member; the future fails if the state machine throws. */
    CompletableFuture<HeartbeatAnswer> heartbeat(Heartbeat heartbeat) {
        CompletableFuture<HeartbeatAnswer> answer = new CompletableFuture<>();
        MembershipEvent input = new MembershipEvent.HeartbeatReceived(heartbeat);
        mLoop.execute(
                () -> {
                    handle(
                            input,
                            effect -> {
                                if (effect instanceof MembershipEffect.AnswerHeartbeat response) {
                                    answer.complete(response.answer());
                                }
                            });
                    mState.reportPeerVersion(
                            heartbeat.sender(),
                            heartbeat.peerAddress(),
                            heartbeat.settingsVersion());
                },
                cause -> failed(answer, cause));
        return answer;
    }

    /** Handles a release of sites; the future fails if the state machine throws. */
    CompletableFuture<ReleaseResponse> release(SiteRelease release) {
        CompletableFuture<ReleaseResponse> answer = new CompletableFuture<>();
        MembershipEvent input = new MembershipEvent.ReleaseReceived(release);
        mLoop.execute(
                () ->
                        handle(
                                input,
                                effect -> {
                                    if (effect instanceof MembershipEffect.AnswerRelease response) {
                                        answer.complete(new ReleaseResponse(response.accepted()));
                                    }
                                }),
                cause -> failed(answer, cause));
        return answer;
    }

    private void failed(CompletableFuture<?> answer, Throwable cause) {
        answer.completeExceptionally(cause);
        mFailures.failed(cause);
    }

    /**
     * Response to a release.
     *
     * @param accepted whether the release is settled, so that the sender stops repeating it
     */
    public record ReleaseResponse(boolean accepted) {}

    private void handle(MembershipEvent input) {
        handle(input, effect -> {});
    }

    private void handle(MembershipEvent input, Consumer<MembershipEffect> listener) {
        List<MembershipEffect> effects = mMachine.handle(input, mLoop.nowMillis());
        CompletableFuture<Map<String, Integer>> sitesStopped =
                mState.applyRoster(mMachine.view(), effects)
                        .orTimeout(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        mPendingBatches.add(new EffectBatch(sitesStopped, effects, listener));
        runPendingBatches();
    }

    // Sends no message while a stopped site may still dispatch requests, because the message could
    // acknowledge the new epoch.
    private void runPendingBatches() {
        while (!mPendingBatches.isEmpty()) {
            EffectBatch batch = mPendingBatches.peek();
            if (!batch.sitesStopped().isDone()) {
                if (!mWaitingForSites) {
                    mWaitingForSites = true;
                    batch.sitesStopped()
                            .whenComplete(
                                    (inFlight, failure) ->
                                            mLoop.execute(this::onSitesStopped, mFailures));
                }
                return;
            }
            mPendingBatches.poll();
            mInFlightAtStop.putAll(batch.sitesStopped().join());
            for (MembershipEffect effect : batch.effects()) {
                carryOut(effect);
                batch.listener().accept(effect);
            }
        }
    }

    private void onSitesStopped() {
        mWaitingForSites = false;
        runPendingBatches();
    }

    private void carryOut(MembershipEffect effect) {
        switch (effect) {
            case MembershipEffect.SendHeartbeat send -> send(send);
            case MembershipEffect.SendRelease send -> send(send);
            case MembershipEffect.ReadRow read -> mRosterRow.read(this::submit);
            case MembershipEffect.WriteRow write -> mRosterRow.write(write, this::submit);
            case MembershipEffect.StartSite start ->
                    LOG.atInfo().log(
                            "roster: starting site %s in epoch %d (%s)",
                            start.service(), start.epoch(), start.start());
            case MembershipEffect.StopSite stop ->
                    LOG.atInfo().log("roster: stopping site %s", stop.service());
            case MembershipEffect.RosterAdopted adopted -> log(adopted.roster());
            case MembershipEffect.Superseded superseded -> {
                LOG.atSevere().log("roster: process %s replaced this one", superseded.by());
                mSuperseded.complete("process " + superseded.by() + " replaced this one");
            }
            case MembershipEffect.Deregistered left -> mLeft.complete(null);
            case MembershipEffect.AnswerHeartbeat answer -> {}
            case MembershipEffect.AnswerRelease answer -> {}
        }
    }

    private static void log(Roster roster) {
        LOG.atInfo().log(
                "roster: epoch %d of zone %s has members %s, settled epoch %d, settings floor %d",
                roster.epoch(),
                roster.zone(),
                roster.members().stream().map(MembershipDriver::describe).toList(),
                roster.settledEpoch(),
                roster.settingsFloor());
    }

    private static String describe(Member member) {
        return member.serving() ? member.id().toString() : member.id() + " (leaving)";
    }

    private void send(MembershipEffect.SendHeartbeat sent) {
        Heartbeat heartbeat = sent.heartbeat().withSentAt(System.currentTimeMillis());
        call(sent.to(), "/peer/v1/heartbeat", heartbeat)
                .whenComplete(
                        (answer, failure) -> {
                            HeartbeatAnswer parsed = parse(answer, HeartbeatAnswer.class);
                            mMetrics.counter(
                                            parsed == null
                                                    ? "roster.heartbeats.failed"
                                                    : "roster.heartbeats.answered")
                                    .inc();
                            if (parsed != null) {
                                mState.reportPeerVersion(
                                        new MemberId(parsed.host(), parsed.incarnation()),
                                        sent.to().peerAddress(),
                                        parsed.settingsVersion());
                                submit(new MembershipEvent.HeartbeatAnswered(sent, parsed));
                            }
                        });
    }

    private void send(MembershipEffect.SendRelease sent) {
        Map<String, Integer> inFlight = new HashMap<>();
        for (String service : sent.release().services().keySet()) {
            inFlight.put(service, mInFlightAtStop.getOrDefault(service, 0));
        }
        LOG.atInfo().log(
                "roster: releasing %s (requests in flight) to %s in epoch %d",
                inFlight, sent.to().id(), sent.release().epoch());
        call(sent.to(), "/peer/v1/release", sent.release().withInFlight(inFlight))
                .whenComplete(
                        (answer, failure) -> {
                            ReleaseResponse parsed = parse(answer, ReleaseResponse.class);
                            boolean accepted = parsed != null && parsed.accepted();
                            submit(new MembershipEvent.ReleaseAnswered(sent, accepted));
                        });
    }

    private CompletableFuture<BufferedResponse> call(Member to, String path, Object message) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MILLIS);
        return mCaller.fetch(
                CallRequest.of(Methods.POST, Addresses.parse(to.peerAddress()), path, deadline)
                        .maxBufferedBytes(MAX_ROSTER_BYTES)
                        .json(message));
    }

    private static <T> @Nullable T parse(@Nullable BufferedResponse answer, Class<T> type) {
        if (answer == null || answer.status() != 200) {
            return null;
        }
        try {
            return Json.read(answer.body(), type);
        } catch (JsonException e) {
            LOG.atWarning().log("roster: malformed response from a peer: %s", e.getMessage());
            return null;
        }
    }
}
