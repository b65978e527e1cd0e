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

/** Connects the roster machine to the control loop, the peers and the platform. */
public final class RosterDriver implements Component {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    // Short against the shortest heartbeat interval, so that a due message waits little.
    private static final long TICK_MILLIS = 50;
    private static final long HEARTBEAT_DEADLINE_MILLIS = 1000;
    private static final int MAX_ROSTER_BYTES = 1 << 20;

    // Steps of a site owner do not block; later than this, the driver has a fault.
    private static final long STOP_DEADLINE_MILLIS = 2000;

    private final MembershipStateMachine mMachine;
    private final ClusterState mState;
    private final ControlEventLoop mLoop;
    private final AsyncHttpClient mCaller;
    private final RosterRowStore mTable;
    private final MetricRegistry mMetrics;
    private final CompletableFuture<Void> mLeft = new CompletableFuture<>();
    private final CompletableFuture<String> mSuperseded = new CompletableFuture<>();
    private final Deque<Step> mSteps = new ArrayDeque<>();
    private final Map<String, Integer> mInFlight = new HashMap<>();
    private Component.FailureListener mFailures = cause -> {};
    private ControlEventLoop.@Nullable PeriodicTask mTicks;
    private boolean mWaiting;

    /**
     * Holds the effects of one input.
     *
     * @param stopped completes when the sites that they stop send nothing more
     * @param effects the effects
     * @param answers receives the effects after they were carried out
     */
    private record Step(
            CompletableFuture<Map<String, Integer>> stopped,
            List<MembershipEffect> effects,
            Consumer<MembershipEffect> answers) {}

    private RosterDriver(
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
        mTable = new RosterRowStore(platform, state.zone(), metrics);
        mMetrics = metrics;
    }

    /** Returns a driver of {@code machine}. */
    public static RosterDriver create(
            MembershipStateMachine machine,
            ClusterState state,
            ControlEventLoop loop,
            AsyncHttpClient caller,
            PlatformClient platform,
            MetricRegistry metrics) {
        return new RosterDriver(machine, state, loop, caller, platform, metrics);
    }

    @Override
    public String name() {
        return "roster";
    }

    @Override
    public void start(Component.FailureListener failures) {
        mFailures = failures;
        mTicks =
                mLoop.scheduleWithFixedDelay(
                        TICK_MILLIS, () -> handle(new MembershipEvent.Tick()), failures);
    }

    @Override
    public void stop() {
        if (mTicks != null) {
            mTicks.cancel();
        }
    }

    /** Completes when this process is no longer a member, as it asked. */
    public CompletableFuture<Void> left() {
        return mLeft;
    }

    /** Completes with a message when another process has taken this one's place. */
    public CompletableFuture<String> superseded() {
        return mSuperseded;
    }

    /** Reports something that happened to the machine. */
    public void submit(MembershipEvent input) {
        mLoop.execute(() -> handle(input), mFailures);
    }

    /** Takes the settings in force, as the cluster state holds them, to the machine. */
    public void settingsChanged() {
        mLoop.execute(
                () ->
                        handle(
                                new MembershipEvent.SettingsChanged(
                                        mState.settingsVersion(), mState.servicesHere())),
                mFailures);
    }

    /** Answers a heartbeat. */
    CompletableFuture<HeartbeatAnswer> heartbeat(Heartbeat heartbeat) {
        CompletableFuture<HeartbeatAnswer> answer = new CompletableFuture<>();
        MembershipEvent input = new MembershipEvent.HeartbeatReceived(heartbeat);
        mLoop.execute(
                () -> {
                    handle(
                            input,
                            effect -> {
                                if (effect instanceof MembershipEffect.AnswerHeartbeat given) {
                                    answer.complete(given.answer());
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

    /** Answers a release with whether it need not be repeated. */
    CompletableFuture<ReleaseResponse> release(SiteRelease release) {
        CompletableFuture<ReleaseResponse> answer = new CompletableFuture<>();
        MembershipEvent input = new MembershipEvent.ReleaseReceived(release);
        mLoop.execute(
                () ->
                        handle(
                                input,
                                effect -> {
                                    if (effect instanceof MembershipEffect.AnswerRelease given) {
                                        answer.complete(new ReleaseResponse(given.accepted()));
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
     * Answers a release.
     *
     * @param accepted whether it need not be repeated
     */
    public record ReleaseResponse(boolean accepted) {}

    private void handle(MembershipEvent input) {
        handle(input, effect -> {});
    }

    private void handle(MembershipEvent input, Consumer<MembershipEffect> answers) {
        List<MembershipEffect> effects = mMachine.handle(input, mLoop.nowMillis());
        CompletableFuture<Map<String, Integer>> stopped =
                mState.applyRoster(mMachine.view(), effects)
                        .orTimeout(STOP_DEADLINE_MILLIS, TimeUnit.MILLISECONDS);
        mSteps.add(new Step(stopped, effects, answers));
        runSteps();
    }

    // No message leaves while a stopped site may still send: it could acknowledge the new epoch.
    private void runSteps() {
        while (!mSteps.isEmpty()) {
            Step step = mSteps.peek();
            if (!step.stopped().isDone()) {
                if (!mWaiting) {
                    mWaiting = true;
                    step.stopped()
                            .whenComplete(
                                    (inFlight, failure) ->
                                            mLoop.execute(this::stepCompleted, mFailures));
                }
                return;
            }
            mSteps.poll();
            mInFlight.putAll(step.stopped().join());
            for (MembershipEffect effect : step.effects()) {
                carryOut(effect);
                step.answers().accept(effect);
            }
        }
    }

    private void stepCompleted() {
        mWaiting = false;
        runSteps();
    }

    private void carryOut(MembershipEffect effect) {
        switch (effect) {
            case MembershipEffect.SendHeartbeat send -> send(send);
            case MembershipEffect.SendRelease send -> send(send);
            case MembershipEffect.ReadRow read -> mTable.read(this::submit);
            case MembershipEffect.WriteRow write -> mTable.write(write, this::submit);
            case MembershipEffect.StartSite start ->
                    LOG.atInfo().log(
                            "roster: starts site %s in epoch %d (%s)",
                            start.service(), start.epoch(), start.start());
            case MembershipEffect.StopSite stop ->
                    LOG.atInfo().log("roster: stops site %s", stop.service());
            case MembershipEffect.RosterAdopted adopted -> log(adopted.roster());
            case MembershipEffect.Superseded superseded -> {
                LOG.atSevere().log("roster: process %s has taken the place", superseded.by());
                mSuperseded.complete("process " + superseded.by() + " has taken the place");
            }
            case MembershipEffect.Deregistered left -> mLeft.complete(null);
            case MembershipEffect.AnswerHeartbeat answer -> {}
            case MembershipEffect.AnswerRelease answer -> {}
        }
    }

    private static void log(Roster roster) {
        LOG.atInfo().log(
                "roster: epoch %d of zone %s has members %s, settled epoch %d, floor %d",
                roster.epoch(),
                roster.zone(),
                roster.members().stream().map(RosterDriver::shortForm).toList(),
                roster.settledEpoch(),
                roster.settingsFloor());
    }

    private static String shortForm(Member member) {
        return member.serving() ? member.id().toString() : member.id() + " (leaving)";
    }

    private void send(MembershipEffect.SendHeartbeat sent) {
        Heartbeat heartbeat = sent.heartbeat().withSentAt(System.currentTimeMillis());
        call(sent.to(), "/peer/v1/heartbeat", heartbeat)
                .whenComplete(
                        (answer, failure) -> {
                            HeartbeatAnswer read = read(answer, HeartbeatAnswer.class);
                            mMetrics.counter(
                                            read == null
                                                    ? "roster.heartbeats.failed"
                                                    : "roster.heartbeats.answered")
                                    .inc();
                            if (read != null) {
                                mState.reportPeerVersion(
                                        new MemberId(read.host(), read.incarnation()),
                                        sent.to().peerAddress(),
                                        read.settingsVersion());
                                submit(new MembershipEvent.HeartbeatAnswered(sent, read));
                            }
                        });
    }

    private void send(MembershipEffect.SendRelease sent) {
        Map<String, Integer> inFlight = new HashMap<>();
        for (String service : sent.release().services().keySet()) {
            inFlight.put(service, mInFlight.getOrDefault(service, 0));
        }
        LOG.atInfo().log(
                "roster: releases %s (requests in flight) to %s in epoch %d",
                inFlight, sent.to().id(), sent.release().epoch());
        call(sent.to(), "/peer/v1/release", sent.release().withInFlight(inFlight))
                .whenComplete(
                        (answer, failure) -> {
                            ReleaseResponse read = read(answer, ReleaseResponse.class);
                            boolean accepted = read != null && read.accepted();
                            submit(new MembershipEvent.ReleaseAnswered(sent, accepted));
                        });
    }

    private CompletableFuture<BufferedResponse> call(Member to, String path, Object message) {
        long deadline =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_DEADLINE_MILLIS);
        return mCaller.fetch(
                CallRequest.of(Methods.POST, Addresses.parse(to.peerAddress()), path, deadline)
                        .maxBufferedBytes(MAX_ROSTER_BYTES)
                        .json(message));
    }

    private static <T> @Nullable T read(@Nullable BufferedResponse answer, Class<T> type) {
        if (answer == null || answer.status() != 200) {
            return null;
        }
        try {
            return Json.read(answer.body(), type);
        } catch (JsonException e) {
            LOG.atWarning().log("roster: unreadable answer of a peer: %s", e.getMessage());
            return null;
        }
    }
}
