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
 * Replicates accepted settings to this process and from it to others.
 *
 * <p>The coordinators of a zone poll the head row in the platform's table, push new changes to the
 * members of the zone and compare versions with coordinators of other zones. A member that learns
 * of a higher version pulls the missing changes from the process that has it. The version never
 * decreases.
 */
public final class SettingsReplicator implements Component {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long TICK_MILLIS = 100;
    private static final long PERIOD_MILLIS = 1000;

    /** Limits the reads per second after a start while another zone lags far behind. */
    private static final int MAX_HISTORY_READS = 64;

    private final ZoneMembership mMembership;
    private final SettingsListener mListener;
    private final ControlEventLoop mLoop;
    private final SettingsStore mStore;
    private final SettingsPeerClient mPeers;
    private final RandomGenerator mRandom;
    private final MetricRegistry mMetrics;
    private final SettingsActivator mActivator;
    private final SettingsAckWriter mAckWriter;
    private final Map<MemberId, Long> mPeerVersions = new HashMap<>();
    private Component.FailureListener mFailures = cause -> {};
    private ControlEventLoop.@Nullable PeriodicTask mPeriodicTask;
    private long mNextPollAt;
    private boolean mPolling;
    private boolean mPulling;
    private boolean mBackfilling;

    private SettingsReplicator(
            ZoneMembership membership,
            SettingsListener listener,
            ControlEventLoop loop,
            AsyncHttpClient caller,
            PlatformClient platform,
            RandomGenerator random,
            MetricRegistry metrics) {
        mMembership = membership;
        mListener = listener;
        mLoop = loop;
        mStore = new SettingsStore(platform);
        mPeers = new SettingsPeerClient(caller);
        mRandom = random;
        mMetrics = metrics;
        mActivator = new SettingsActivator(membership, listener, metrics);
        mAckWriter = new SettingsAckWriter(this, mActivator, membership, mStore, metrics);
    }

    /**
     * Creates a replicator without settings.
     *
     * @param listener receives the active settings
     * @param random adds jitter to the polls and selects the zones and coordinators to call
     */
    public static SettingsReplicator create(
            ZoneMembership membership,
            SettingsListener listener,
            ControlEventLoop loop,
            AsyncHttpClient caller,
            PlatformClient platform,
            RandomGenerator random,
            MetricRegistry metrics) {
        SettingsReplicator replicator =
                new SettingsReplicator(
                        membership, listener, loop, caller, platform, random, metrics);
        membership.addPeerVersionListener(replicator::onPeerVersion);
        return replicator;
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
        mBackfilling = false;
        mNextPollAt = mLoop.nowMillis();
        mPeriodicTask = mLoop.scheduleWithFixedDelay(TICK_MILLIS, this::runPeriodically, failures);
    }

    @Override
    public void stop() {
        if (mPeriodicTask != null) {
            mPeriodicTask.cancel();
        }
    }

    /** Handles a pull: returns the changes after a version, or a snapshot. */
    CompletableFuture<SettingsMessage> handlePull(long after) {
        return callOnLoop(() -> mActivator.messageAfter(after));
    }

    /** Handles a push: applies the message and returns the version known afterwards. */
    CompletableFuture<SettingsMessage> handlePush(SettingsMessage message) {
        return callOnLoop(
                () -> {
                    applyMessage(message);
                    return mActivator.messageAfter(mActivator.version());
                });
    }

    /** Returns the newest settings document that this process knows. */
    CompletableFuture<SettingsTree> tree() {
        return callOnLoop(() -> mActivator.replica().tree());
    }

    /** Applies a change that this process has committed, and pushes it as a coordinator. */
    void changeCommitted(SettingsChange change) {
        runOnLoop(() -> apply(List.of(change), null, "a put"));
    }

    /** Reads missing changes up to a version; completes with the document known afterwards. */
    CompletableFuture<SettingsTree> catchUp(SettingsStore.Head head) {
        return tree().thenCompose(
                        tree ->
                                tree.version() >= head.version()
                                        ? CompletableFuture.completedFuture(tree)
                                        : mStore.fetch(tree.version(), head.version())
                                                .thenCompose(this::applyFetched));
    }

    private CompletableFuture<SettingsTree> applyFetched(SettingsStore.Fetched fetched) {
        return callOnLoop(
                () -> {
                    apply(fetched.changes(), fetched.snapshot(), "the platform");
                    return mActivator.replica().tree();
                });
    }

    SettingsStore store() {
        return mStore;
    }

    /** Returns the highest active version that a member has reported; 0 before the first report. */
    long activeVersionOf(Member member) {
        return member.id().equals(mMembership.member().id())
                ? mActivator.activeVersion()
                : mPeerVersions.getOrDefault(member.id(), 0L);
    }

    long nowMillis() {
        return mLoop.nowMillis();
    }

    void runOnLoop(Runnable task) {
        mLoop.execute(task, mFailures);
    }

    /** Merges acknowledgements; pushes them as a coordinator if any was new. */
    void mergeAcks(ZoneAcks acks) {
        if (mActivator.mergeAcks(acks)) {
            mActivator.activate();
            if (mMembership.isCoordinator()) {
                push(mActivator.version());
            }
        }
    }

    private void runPeriodically() {
        if (mLoop.nowMillis() < mNextPollAt) {
            return;
        }
        // Jitter keeps the coordinators of many zones from reading at the same time.
        mNextPollAt = mLoop.nowMillis() + PERIOD_MILLIS - mRandom.nextInt((int) PERIOD_MILLIS / 10);
        Roster roster = mMembership.roster();
        boolean coordinator = mMembership.isCoordinator();
        long version = mActivator.version();
        long floor = roster == null ? 0 : roster.settingsFloor();
        if (coordinator || version == 0 || version < floor) {
            poll();
        } else if (!mActivator.acksComplete() || mActivator.activeVersion() < version) {
            pullFromCoordinator(mMembership.zone());
        }
        backfillHistory();
        boolean zoneKnown = mActivator.acks().byZone().containsKey(mMembership.zone());
        if (version > 0 && !zoneKnown) {
            readAcks();
        }
        if (coordinator) {
            pullFromOtherZone();
            mAckWriter.writeIfDue();
        }
        mActivator.activate();
    }

    private void poll() {
        if (mPolling) {
            return;
        }
        mPolling = true;
        mMetrics.counter("settings.polls").inc();
        long known = mActivator.version();
        mStore.head()
                .thenCompose(
                        head ->
                                head.version() > known
                                        ? mStore.fetch(known, head.version())
                                        : CompletableFuture.completedFuture(
                                                SettingsStore.Fetched.NOTHING))
                .whenComplete((fetched, failure) -> runOnLoop(() -> onPolled(fetched, failure)));
    }

    private void onPolled(SettingsStore.@Nullable Fetched fetched, @Nullable Throwable failure) {
        mPolling = false;
        if (fetched == null) {
            mMetrics.counter("settings.polls.failed").inc();
            LOG.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "settings: failed to read the platform: %s",
                    failure == null ? "" : failure.getMessage());
            return;
        }
        apply(fetched.changes(), fetched.snapshot(), "the platform");
        if (mActivator.version() == 0) {
            mListener.noSettingsStored();
        } else if (!mActivator.acksComplete()) {
            readAcks();
        }
    }

    private void readAcks() {
        long known = mActivator.version();
        mStore.acks()
                .whenComplete(
                        (read, failure) -> {
                            if (read != null) {
                                runOnLoop(() -> mergeAcks(ZoneAcks.of(known, read)));
                            }
                        });
    }

    /** Reads the changes between the lowest version in use and the oldest one known, if any. */
    private void backfillHistory() {
        long oldest = mActivator.replica().oldestVersion();
        long lowest = Math.max(mActivator.lowestInUse(), oldest - MAX_HISTORY_READS);
        if (mBackfilling || mActivator.acks().byZone().isEmpty() || lowest >= oldest) {
            return;
        }
        mBackfilling = true;
        mStore.changes(lowest, oldest)
                .whenComplete(
                        (changes, failure) ->
                                runOnLoop(
                                        () -> {
                                            mBackfilling = false;
                                            if (changes != null) {
                                                mActivator.backfillHistory(changes);
                                            }
                                        }));
    }

    private void pullFromOtherZone() {
        List<String> zones = new ArrayList<>(mMembership.knownZones());
        zones.remove(mMembership.zone());
        if (!zones.isEmpty()) {
            pullFromCoordinator(zones.get(mRandom.nextInt(zones.size())));
        }
    }

    private void pullFromCoordinator(String zone) {
        List<Member> candidates =
                mMembership.coordinators(zone).stream()
                        .filter(member -> !member.id().equals(mMembership.member().id()))
                        .toList();
        if (!candidates.isEmpty()) {
            pull(candidates.get(mRandom.nextInt(candidates.size())).peerAddress());
        }
    }

    private void onPeerVersion(MemberId id, String peerAddress, long version) {
        mPeerVersions.merge(id, version, Math::max);
        if (version > mActivator.version()) {
            pull(peerAddress);
        }
    }

    private void pull(String peerAddress) {
        if (mPulling) {
            return;
        }
        mPulling = true;
        mPeers.pull(peerAddress, mActivator.version())
                .whenComplete((answer, failure) -> runOnLoop(() -> onPulled(peerAddress, answer)));
    }

    private void onPulled(String peerAddress, @Nullable SettingsMessage answer) {
        mPulling = false;
        if (answer == null) {
            return;
        }
        applyMessage(answer);
        if (answer.version() < mActivator.version()) {
            mPeers.push(peerAddress, mActivator.messageAfter(answer.version()));
        }
    }

    private void applyMessage(SettingsMessage message) {
        SettingsMessage.Snapshot snapshot = message.snapshot();
        apply(
                message.changes(),
                snapshot == null ? null : snapshot.tree(),
                "host " + message.host());
        if (message.acks() != null) {
            mergeAcks(message.acks());
        }
    }

    private void apply(
            @Nullable List<SettingsChange> changes,
            @Nullable SettingsTree snapshot,
            String source) {
        long before = mActivator.version();
        mActivator.apply(changes, snapshot);
        if (mActivator.version() == before) {
            return;
        }
        LOG.atInfo().log(
                "settings: version %d replaces %d, received from %s",
                mActivator.version(), before, source);
        mMetrics.counter("settings.versions").inc();
        mActivator.activate();
        if (mMembership.isCoordinator()) {
            push(before);
        }
    }

    /** Pushes the settings after a version to the other members of the zone. */
    private void push(long after) {
        Roster roster = mMembership.roster();
        if (roster == null) {
            return;
        }
        SettingsMessage message = mActivator.messageAfter(after);
        for (Member member : roster.members()) {
            if (!member.id().equals(mMembership.member().id())) {
                mMetrics.counter("settings.pushes").inc();
                mPeers.push(member.peerAddress(), message)
                        .whenComplete(
                                (answer, failure) -> runOnLoop(() -> onPushed(member, answer)));
            }
        }
    }

    private void onPushed(Member member, @Nullable SettingsMessage answer) {
        if (answer == null) {
            mMetrics.counter("settings.pushes.failed").inc();
        } else if (member.id().equals(new MemberId(answer.host(), answer.incarnation()))) {
            mPeerVersions.merge(member.id(), answer.served(), Math::max);
        }
    }

    private <T> CompletableFuture<T> callOnLoop(Supplier<T> task) {
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
