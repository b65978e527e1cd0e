package org.redwingladder.control;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.MemberId;
import org.redwingladder.membership.Roster;
import org.redwingladder.platform.PlatformClient;
import org.redwingladder.settings.SettingsChange;
import org.redwingladder.settings.SettingsTree;
import org.redwingladder.settings.ZoneAcks;
import org.redwingladder.supervisor.Component;

/**
 * Brings accepted settings to this process and hands them on.
 *
 * <p>The stewards of a zone poll the head in the platform's table, push what is new to the zone's
 * members and compare versions with stewards of other zones. Any member that hears of a higher
 * version pulls what it lacks from the process that has it. The version only rises.
 */
public final class SettingsReplicator implements Component {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long TICK_MILLIS = 100;
    private static final long PERIOD_MILLIS = 1000;

    /** Bounds the reads of one second after a start while a zone is far behind. */
    private static final int MAX_HISTORY_READS = 64;

    private final ZoneMembership mMembership;
    private final SettingsListener mListener;
    private final ControlEventLoop mLoop;
    private final SettingsStore mStore;
    private final SettingsPeerClient mPeers;
    private final RandomGenerator mRandom;
    private final MetricRegistry mMetrics;
    private final SettingsActivator mState;
    private final SettingsAckWriter mAckWriter;
    private final Map<MemberId, Long> mPeerVersions = new HashMap<>();
    private Component.FailureListener mFailures = cause -> {};
    private ControlEventLoop.@Nullable PeriodicTask mTicks;
    private long mNextAt;
    private boolean mPolling;
    private boolean mPulling;
    private boolean mReadingHistory;

    private SettingsReplicator(
            ZoneMembership membership,
            SettingsListener sink,
            ControlEventLoop loop,
            AsyncHttpClient caller,
            PlatformClient platform,
            RandomGenerator random,
            MetricRegistry metrics) {
        mMembership = membership;
        mListener = sink;
        mLoop = loop;
        mStore = new SettingsStore(platform);
        mPeers = new SettingsPeerClient(caller);
        mRandom = random;
        mMetrics = metrics;
        mState = new SettingsActivator(membership, sink, metrics);
        mAckWriter = new SettingsAckWriter(this, mState, membership, mStore, metrics);
    }

    /**
     * Returns a driver that has no settings yet.
     *
     * @param sink receives the settings to serve by
     * @param random spreads the polls and chooses the zones and stewards to ask
     */
    public static SettingsReplicator create(
            ZoneMembership membership,
            SettingsListener sink,
            ControlEventLoop loop,
            AsyncHttpClient caller,
            PlatformClient platform,
            RandomGenerator random,
            MetricRegistry metrics) {
        SettingsReplicator driver =
                new SettingsReplicator(membership, sink, loop, caller, platform, random, metrics);
        membership.addPeerVersionListener(driver::versionReported);
        return driver;
    }

    @Override
    public String name() {
        return "settings";
    }

    @Override
    public void start(Component.FailureListener failures) {
        mFailures = failures;
        mPolling = false;
        mPulling = false;
        mReadingHistory = false;
        mNextAt = mLoop.nowMillis();
        mTicks = mLoop.scheduleWithFixedDelay(TICK_MILLIS, this::tick, failures);
    }

    @Override
    public void stop() {
        if (mTicks != null) {
            mTicks.cancel();
        }
    }

    /** Answers what follows a version. */
    CompletableFuture<SettingsMessage> answerPull(long after) {
        return onLoop(() -> mState.messageAfter(after));
    }

    /** Takes what another process hands on, and answers with the version then in force. */
    CompletableFuture<SettingsMessage> answerPush(SettingsMessage message) {
        return onLoop(
                () -> {
                    take(message);
                    return mState.messageAfter(mState.version());
                });
    }

    /** Returns the tree in force. */
    CompletableFuture<SettingsTree> tree() {
        return onLoop(() -> mState.order().tree());
    }

    /** Takes a change that this process has committed, and hands it on. */
    void committed(SettingsChange change) {
        later(() -> enter(List.of(change), null, "a put"));
    }

    /** Brings this process to at least a version; the future holds the tree in force then. */
    CompletableFuture<SettingsTree> catchUp(SettingsStore.Head head) {
        return tree().thenCompose(
                        tree ->
                                tree.version() >= head.version()
                                        ? CompletableFuture.completedFuture(tree)
                                        : mStore.fetch(tree.version(), head.version())
                                                .thenCompose(this::entered));
    }

    private CompletableFuture<SettingsTree> entered(SettingsStore.Fetched fetched) {
        return onLoop(
                () -> {
                    enter(fetched.changes(), fetched.snapshot(), "the platform");
                    return mState.order().tree();
                });
    }

    SettingsStore store() {
        return mStore;
    }

    /** Returns the lowest version that a member may serve by, as far as it was heard. */
    long knownVersionOf(Member member) {
        return member.id().equals(mMembership.member().id())
                ? mState.served()
                : mPeerVersions.getOrDefault(member.id(), 0L);
    }

    long nowMillis() {
        return mLoop.nowMillis();
    }

    void later(Runnable task) {
        mLoop.execute(task, mFailures);
    }

    /** Takes acknowledgements that were read, written or received, and hands news on. */
    void acksKnown(ZoneAcks acks) {
        if (mState.enter(acks)) {
            mState.deliver();
            if (mMembership.isCoordinator()) {
                push(mState.version());
            }
        }
    }

    private void tick() {
        if (mLoop.nowMillis() < mNextAt) {
            return;
        }
        // The phase drifts at random, so that the stewards of many zones do not read in step.
        mNextAt = mLoop.nowMillis() + PERIOD_MILLIS - mRandom.nextInt((int) PERIOD_MILLIS / 10);
        Roster roster = mMembership.roster();
        boolean steward = mMembership.isCoordinator();
        long version = mState.version();
        long floor = roster == null ? 0 : roster.settingsFloor();
        if (steward || version == 0 || version < floor) {
            poll();
        } else if (!mState.acksComplete() || mState.served() < version) {
            askSteward(mMembership.zone());
        }
        readHistory();
        boolean zoneKnown = mState.acks().byZone().containsKey(mMembership.zone());
        if (version > 0 && !zoneKnown) {
            readAcks();
        }
        if (steward) {
            askOtherZone();
            mAckWriter.tick();
        }
        mState.deliver();
    }

    private void poll() {
        if (mPolling) {
            return;
        }
        mPolling = true;
        mMetrics.counter("settings.polls").inc();
        long known = mState.version();
        mStore.head()
                .thenCompose(
                        head ->
                                head.version() > known
                                        ? mStore.fetch(known, head.version())
                                        : CompletableFuture.completedFuture(
                                                SettingsStore.Fetched.NOTHING))
                .whenComplete((fetched, failure) -> later(() -> polled(fetched, failure)));
    }

    private void polled(SettingsStore.@Nullable Fetched fetched, @Nullable Throwable failure) {
        mPolling = false;
        if (fetched == null) {
            mMetrics.counter("settings.polls.failed").inc();
            LOG.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "settings: the platform could not be read: %s",
                    failure == null ? "" : failure.getMessage());
            return;
        }
        enter(fetched.changes(), fetched.snapshot(), "the platform");
        if (mState.version() == 0) {
            mListener.noSettingsStored();
        } else if (!mState.acksComplete()) {
            readAcks();
        }
    }

    private void readAcks() {
        long known = mState.version();
        mStore.acks()
                .whenComplete(
                        (read, failure) -> {
                            if (read != null) {
                                later(() -> acksKnown(ZoneAcks.of(known, read)));
                            }
                        });
    }

    /** Reads the changes back to the lowest version in use, if a snapshot left them unknown. */
    private void readHistory() {
        long oldest = mState.order().oldestVersion();
        long lowest = Math.max(mState.lowestInUse(), oldest - MAX_HISTORY_READS);
        if (mReadingHistory || mState.acks().byZone().isEmpty() || lowest >= oldest) {
            return;
        }
        mReadingHistory = true;
        mStore.changes(lowest, oldest)
                .whenComplete(
                        (changes, failure) ->
                                later(
                                        () -> {
                                            mReadingHistory = false;
                                            if (changes != null) {
                                                mState.extendHistory(changes);
                                            }
                                        }));
    }

    private void askOtherZone() {
        List<String> zones = new ArrayList<>(mMembership.knownZones());
        zones.remove(mMembership.zone());
        if (!zones.isEmpty()) {
            askSteward(zones.get(mRandom.nextInt(zones.size())));
        }
    }

    private void askSteward(String zone) {
        List<Member> stewards =
                mMembership.coordinators(zone).stream()
                        .filter(member -> !member.id().equals(mMembership.member().id()))
                        .toList();
        if (!stewards.isEmpty()) {
            pull(stewards.get(mRandom.nextInt(stewards.size())).peerAddress());
        }
    }

    private void versionReported(MemberId id, String peerAddress, long version) {
        mPeerVersions.merge(id, version, Math::max);
        if (version > mState.version()) {
            pull(peerAddress);
        }
    }

    private void pull(String peerAddress) {
        if (mPulling) {
            return;
        }
        mPulling = true;
        mPeers.pull(peerAddress, mState.version())
                .whenComplete((answer, failure) -> later(() -> pulled(peerAddress, answer)));
    }

    private void pulled(String peerAddress, @Nullable SettingsMessage answer) {
        mPulling = false;
        if (answer == null) {
            return;
        }
        take(answer);
        if (answer.version() < mState.version()) {
            mPeers.push(peerAddress, mState.messageAfter(answer.version()));
        }
    }

    private void take(SettingsMessage message) {
        SettingsMessage.Snapshot snapshot = message.snapshot();
        enter(
                message.changes(),
                snapshot == null ? null : snapshot.tree(),
                "host " + message.host());
        if (message.acks() != null) {
            acksKnown(message.acks());
        }
    }

    private void enter(
            @Nullable List<SettingsChange> changes,
            @Nullable SettingsTree snapshot,
            String source) {
        long before = mState.version();
        mState.enter(changes, snapshot);
        if (mState.version() == before) {
            return;
        }
        LOG.atInfo().log(
                "settings: version %d follows %d, from %s", mState.version(), before, source);
        mMetrics.counter("settings.versions").inc();
        mState.deliver();
        if (mMembership.isCoordinator()) {
            push(before);
        }
    }

    /** Pushes what follows a version to the other members of the zone. */
    private void push(long after) {
        Roster roster = mMembership.roster();
        if (roster == null) {
            return;
        }
        SettingsMessage message = mState.messageAfter(after);
        for (Member member : roster.members()) {
            if (!member.id().equals(mMembership.member().id())) {
                mMetrics.counter("settings.pushes").inc();
                mPeers.push(member.peerAddress(), message)
                        .whenComplete((answer, failure) -> later(() -> pushed(member, answer)));
            }
        }
    }

    private void pushed(Member member, @Nullable SettingsMessage answer) {
        if (answer == null) {
            mMetrics.counter("settings.pushes.failed").inc();
        } else if (member.id().equals(new MemberId(answer.host(), answer.incarnation()))) {
            mPeerVersions.merge(member.id(), answer.served(), Math::max);
        }
    }

    private <T> CompletableFuture<T> onLoop(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        mLoop.execute(
                () -> result.complete(task.get()),
                cause -> {
                    result.completeExceptionally(cause);
                    mFailures.failed(cause);
                });
        return result;
    }
}
