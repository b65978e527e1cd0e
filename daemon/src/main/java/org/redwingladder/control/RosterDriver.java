package org.redwingladder.control;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.undertow.util.Methods;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.HttpCaller;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;
import org.redwingladder.http.WholeAnswer;
import org.redwingladder.membership.Heartbeat;
import org.redwingladder.membership.HeartbeatAnswer;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.MemberId;
import org.redwingladder.membership.Release;
import org.redwingladder.membership.Roster;
import org.redwingladder.membership.RosterEffect;
import org.redwingladder.membership.RosterInput;
import org.redwingladder.membership.RosterMachine;
import org.redwingladder.membership.RosterRow;
import org.redwingladder.platform.PlatformClient;
import org.redwingladder.platform.Row;
import org.redwingladder.platform.Transaction;
import org.redwingladder.platform.TransactionResult;
import org.redwingladder.supervisor.Part;

/** Connects the roster machine to the control loop, the peers and the platform. */
public final class RosterDriver implements Part {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    // Short against the shortest heartbeat interval, so that a due message waits little.
    private static final long TICK_MILLIS = 50;
    private static final long HEARTBEAT_DEADLINE_MILLIS = 1000;
    private static final long PLATFORM_DEADLINE_MILLIS = 3000;
    private static final int MAX_ROSTER_BYTES = 1 << 20;

    private final RosterMachine mMachine;
    private final ClusterState mState;
    private final ControlLoop mLoop;
    private final HttpCaller mCaller;
    private final PlatformClient mPlatform;
    private final MetricRegistry mMetrics;
    private final CompletableFuture<Void> mLeft = new CompletableFuture<>();
    private final CompletableFuture<String> mSuperseded = new CompletableFuture<>();
    private Part.Failures mFailures = cause -> {};
    private ControlLoop.@Nullable Periodic mTicks;

    private RosterDriver(
            RosterMachine machine,
            ClusterState state,
            ControlLoop loop,
            HttpCaller caller,
            PlatformClient platform,
            MetricRegistry metrics) {
        mMachine = machine;
        mState = state;
        mLoop = loop;
        mCaller = caller;
        mPlatform = platform;
        mMetrics = metrics;
    }

    /** Returns a driver of {@code machine}. */
    public static RosterDriver create(
            RosterMachine machine,
            ClusterState state,
            ControlLoop loop,
            HttpCaller caller,
            PlatformClient platform,
            MetricRegistry metrics) {
        return new RosterDriver(machine, state, loop, caller, platform, metrics);
    }

    @Override
    public String name() {
        return "roster";
    }

    @Override
    public void start(Part.Failures failures) {
        mFailures = failures;
        mTicks = mLoop.every(TICK_MILLIS, () -> handle(new RosterInput.Tick()), failures);
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
    public void report(RosterInput input) {
        mLoop.execute(() -> handle(input), mFailures);
    }

    /** Takes the settings in force, as the cluster state holds them, to the machine. */
    public void settingsChanged() {
        mLoop.execute(
                () ->
                        handle(
                                new RosterInput.SettingsChanged(
                                        mState.settingsVersion(), mState.servicesHere())),
                mFailures);
    }

    /** Answers a heartbeat. */
    CompletableFuture<HeartbeatAnswer> heartbeat(Heartbeat heartbeat) {
        CompletableFuture<HeartbeatAnswer> answer = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    HeartbeatAnswer found = null;
                    for (RosterEffect effect :
                            handle(new RosterInput.HeartbeatReceived(heartbeat))) {
                        if (effect instanceof RosterEffect.AnswerHeartbeat given) {
                            found = given.answer();
                        }
                    }
                    mState.peerVersion(
                            new MemberId(heartbeat.host(), heartbeat.incarnation()),
                            heartbeat.peerAddress(),
                            heartbeat.settingsVersion());
                    answer.complete(found);
                },
                cause -> {
                    answer.completeExceptionally(cause);
                    mFailures.failed(cause);
                });
        return answer;
    }

    /** Answers a release with whether it need not be repeated. */
    CompletableFuture<ReleaseAnswer> release(Release release) {
        CompletableFuture<ReleaseAnswer> answer = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    boolean accepted = false;
                    for (RosterEffect effect : handle(new RosterInput.ReleaseReceived(release))) {
                        accepted |=
                                effect instanceof RosterEffect.AnswerRelease given
                                        && given.accepted();
                    }
                    answer.complete(new ReleaseAnswer(accepted));
                },
                cause -> {
                    answer.completeExceptionally(cause);
                    mFailures.failed(cause);
                });
        return answer;
    }

    /**
     * Answers a release.
     *
     * @param accepted whether it need not be repeated
     */
    public record ReleaseAnswer(boolean accepted) {}

    private List<RosterEffect> handle(RosterInput input) {
        List<RosterEffect> effects = mMachine.handle(input, mLoop.nowMillis());
        // Stopped sites leave the cluster state before any message of these effects is sent.
        mState.roster(mMachine.view(), effects);
        for (RosterEffect effect : effects) {
            carryOut(effect);
        }
        return effects;
    }

    private void carryOut(RosterEffect effect) {
        switch (effect) {
            case RosterEffect.SendHeartbeat send -> send(send);
            case RosterEffect.SendRelease send -> send(send);
            case RosterEffect.ReadRow read -> read();
            case RosterEffect.WriteRow write -> write(write);
            case RosterEffect.StartSite start ->
                    LOG.atInfo().log(
                            "roster: starts site %s in epoch %d (%s)",
                            start.service(), start.epoch(), start.start());
            case RosterEffect.StopSite stop ->
                    LOG.atInfo().log("roster: stops site %s", stop.service());
            case RosterEffect.RosterAdopted adopted -> log(adopted.roster());
            case RosterEffect.Superseded superseded -> {
                LOG.atSevere().log("roster: process %s has taken the place", superseded.by());
                mSuperseded.complete("process " + superseded.by() + " has taken the place");
            }
            case RosterEffect.Left left -> mLeft.complete(null);
            case RosterEffect.AnswerHeartbeat answer -> {}
            case RosterEffect.AnswerRelease answer -> {}
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

    private void send(RosterEffect.SendHeartbeat sent) {
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
                                mState.peerVersion(
                                        new MemberId(read.host(), read.incarnation()),
                                        sent.to().peerAddress(),
                                        read.settingsVersion());
                                report(new RosterInput.HeartbeatAnswered(sent, read));
                            }
                        });
    }

    private void send(RosterEffect.SendRelease sent) {
        LOG.atInfo().log(
                "roster: releases %s to %s in epoch %d",
                sent.release().services().keySet(), sent.to().id(), sent.release().epoch());
        call(sent.to(), "/peer/v1/release", sent.release())
                .whenComplete(
                        (answer, failure) -> {
                            ReleaseAnswer read = read(answer, ReleaseAnswer.class);
                            boolean accepted = read != null && read.accepted();
                            report(new RosterInput.ReleaseAnswered(sent, accepted));
                        });
    }

    private CompletableFuture<WholeAnswer> call(Member to, String path, Object message) {
        long deadline =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_DEADLINE_MILLIS);
        return mCaller.ask(
                CallRequest.of(Methods.POST, Addresses.parse(to.peerAddress()), path, deadline)
                        .maxWholeBytes(MAX_ROSTER_BYTES)
                        .json(message));
    }

    private static <T> @Nullable T read(@Nullable WholeAnswer answer, Class<T> type) {
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

    private void read() {
        mMetrics.counter("roster.reads").inc();
        mPlatform
                .row(Roster.key(mState.zone()), platformDeadline())
                .whenComplete(
                        (row, failure) -> {
                            if (failure != null) {
                                mMetrics.counter("roster.reads.failed").inc();
                                report(new RosterInput.ReadFailed());
                            } else {
                                report(new RosterInput.RowRead(row.map(this::parse).orElse(null)));
                            }
                        });
    }

    private void write(RosterEffect.WriteRow write) {
        String key = Roster.key(mState.zone());
        mMetrics.counter("roster.writes").inc();
        Transaction transaction =
                Transaction.of(UUID.randomUUID().toString())
                        .replace(key, write.version(), Json.mapper().valueToTree(write.roster()));
        mPlatform
                .commit(transaction, platformDeadline())
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                LOG.atWarning().atMostEvery(5, TimeUnit.SECONDS).log(
                                        "roster: the row could not be written: %s",
                                        failure.getMessage());
                                report(new RosterInput.WriteLost());
                            } else {
                                report(written(result, key, write));
                            }
                        });
    }

    private RosterInput written(TransactionResult result, String key, RosterEffect.WriteRow write) {
        return switch (result) {
            case TransactionResult.Committed committed ->
                    committed.versions().containsKey(key)
                            ? new RosterInput.WriteDone(
                                    new RosterRow(committed.versions().get(key), write.roster()))
                            : new RosterInput.WriteLost();
            case TransactionResult.Conflict conflict -> {
                mMetrics.counter("roster.conflicts").inc();
                RosterRow found = null;
                for (Row row : conflict.failed()) {
                    found = row.key().equals(key) ? parse(row) : found;
                }
                yield found == null
                        ? new RosterInput.WriteLost()
                        : new RosterInput.WriteConflict(found);
            }
            case TransactionResult.Unknown unknown -> new RosterInput.WriteLost();
        };
    }

    private @Nullable RosterRow parse(Row row) {
        if (row.value() == null) {
            return null;
        }
        try {
            Roster roster = Json.mapper().treeToValue(row.value(), Roster.class);
            return new RosterRow(row.version(), roster);
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            // The row belongs to a later release or is damaged; it must not be overwritten.
            throw new IllegalStateException("unreadable row " + row.key(), e);
        }
    }

    private static long platformDeadline() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PLATFORM_DEADLINE_MILLIS);
    }
}
