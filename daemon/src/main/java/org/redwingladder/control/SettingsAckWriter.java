package org.redwingladder.control;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Json;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.Roster;
import org.redwingladder.platform.Row;
import org.redwingladder.platform.Transaction;
import org.redwingladder.platform.TransactionResult;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.Site;
import org.redwingladder.settings.SiteQuotas;
import org.redwingladder.settings.ZoneAcks;

/**
 * Writes, on a coordinator, the acknowledgement row of the zone: the lowest settings version that
 * may be active on any of its members.
 *
 * <p>The row is first written with the newest version, before any member has active settings. It is
 * raised only if the version is active on every process in the roster row and the roster's settings
 * floor keeps later processes from joining below it; the transaction checks that the roster row has
 * not changed.
 */
final class SettingsAckWriter {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final SettingsReplicator mReplicator;
    private final SettingsActivator mActivator;
    private final ZoneMembership mMembership;
    private final SettingsStore mStore;
    private final MetricRegistry mMetrics;
    private boolean mWriteInProgress;
    private long mTargetVersion;
    private long mRaiseNotBefore;

    SettingsAckWriter(
            SettingsReplicator replicator,
            SettingsActivator activator,
            ZoneMembership membership,
            SettingsStore store,
            MetricRegistry metrics) {
        mReplicator = replicator;
        mActivator = activator;
        mMembership = membership;
        mStore = store;
        mMetrics = metrics;
    }

    /** Writes or raises the row if that is due. */
    void writeIfDue() {
        Roster roster = mMembership.roster();
        long version = mActivator.replica().version();
        if (mWriteInProgress || roster == null || version == 0) {
            return;
        }
        Long row = mActivator.acks().byZone().get(mMembership.zone());
        if (row == null) {
            run(writeFirst(version));
            return;
        }
        long lowest = lowestActiveVersion(roster.members());
        if (lowest <= row || roster.settingsFloor() < lowest) {
            return;
        }
        if (mTargetVersion <= row) {
            mTargetVersion = lowest;
            mRaiseNotBefore = mReplicator.nowMillis() + drainMillis(row, lowest);
        }
        if (mReplicator.nowMillis() >= mRaiseNotBefore) {
            run(raise(mTargetVersion));
        }
    }

    private long lowestActiveVersion(List<Member> members) {
        long lowest = Long.MAX_VALUE;
        for (Member member : members) {
            lowest = Math.min(lowest, mReplicator.activeVersionOf(member));
        }
        return lowest;
    }

    /**
     * Returns for how many milliseconds requests may still run that were admitted under an older,
     * higher in-flight quota. Other zones may use the released quota only after these have ended.
     */
    private long drainMillis(long from, long to) {
        NavigableMap<Long, Settings> history = mActivator.replica().history();
        Long first = history.floorKey(from);
        Map.Entry<Long, Settings> last = history.floorEntry(to);
        if (last == null) {
            return 0;
        }
        long longest = 0;
        for (Site site : last.getValue().sites()) {
            if (!site.zone().equals(mMembership.zone())) {
                continue;
            }
            SiteQuotas next = SiteQuotas.of(last.getValue(), site);
            List<Settings> earlier =
                    new ArrayList<>(
                            history.subMap(first == null ? 0L : first, last.getKey()).values());
            if (earlier.stream().anyMatch(s -> lowersInFlight(SiteQuotas.of(s, site), next))) {
                long run = last.getValue().services().get(site.service()).maxRequestMillis();
                longest = Math.max(longest, run);
            }
        }
        return longest;
    }

    private static boolean lowersInFlight(SiteQuotas before, SiteQuotas after) {
        for (SiteQuotas.CapQuota part : after.caps()) {
            Integer limit = part.inFlight();
            boolean covered =
                    before.caps().stream()
                            .anyMatch(
                                    p ->
                                            p.cap().equals(part.cap())
                                                    && p.inFlight() != null
                                                    && limit != null
                                                    && p.inFlight() <= limit);
            if (limit != null && !covered) {
                return true;
            }
        }
        return false;
    }

    private void run(CompletableFuture<@Nullable ZoneAcks> task) {
        mWriteInProgress = true;
        task.whenComplete(
                (acks, failure) ->
                        mReplicator.runOnLoop(
                                () -> {
                                    mWriteInProgress = false;
                                    if (acks != null) {
                                        mReplicator.mergeAcks(acks);
                                    } else if (failure != null) {
                                        mMetrics.counter("settings.acks.failed").inc();
                                    }
                                }));
    }

    /** Creates the zone's row if it is absent and this process knows the newest version. */
    private CompletableFuture<@Nullable ZoneAcks> writeFirst(long version) {
        String zone = mMembership.zone();
        String key = SettingsStore.ackKey(zone);
        return mStore.row(key)
                .thenCombine(mStore.head(), (row, head) -> new AckAndHead(row, head))
                .thenCompose(
                        first -> {
                            if (first.row().isPresent()) {
                                return CompletableFuture.completedFuture(
                                        acks(
                                                SettingsStore.integerField(
                                                        first.row().get(), "version")));
                            }
                            if (first.head().version() != version) {
                                return CompletableFuture.<@Nullable ZoneAcks>completedFuture(null);
                            }
                            Transaction transaction =
                                    Transaction.of(UUID.randomUUID().toString())
                                            .check(
                                                    SettingsStore.HEAD_KEY,
                                                    first.head().rowVersion())
                                            .replace(key, 0, SettingsStore.ackValue(zone, version));
                            return mStore.commit(transaction)
                                    .thenApply(result -> written(result, version));
                        });
    }

    private record AckAndHead(Optional<Row> row, SettingsStore.Head head) {}

    /** Raises the row if the current roster row allows it. */
    private CompletableFuture<@Nullable ZoneAcks> raise(long version) {
        String zone = mMembership.zone();
        String key = SettingsStore.ackKey(zone);
        return mStore.row(Roster.key(zone))
                .thenCombine(mStore.row(key), (roster, ack) -> new RosterAndAck(roster, ack))
                .thenComposeAsync(
                        rows -> {
                            Roster roster =
                                    rows.roster().map(SettingsAckWriter::parse).orElse(null);
                            if (roster == null
                                    || rows.ack().isEmpty()
                                    || roster.settingsFloor() < version
                                    || lowestActiveVersion(roster.members()) < version) {
                                return CompletableFuture.<@Nullable ZoneAcks>completedFuture(null);
                            }
                            long now = SettingsStore.integerField(rows.ack().get(), "version");
                            if (now >= version) {
                                return CompletableFuture.completedFuture(acks(now));
                            }
                            Transaction transaction =
                                    Transaction.of(UUID.randomUUID().toString())
                                            .check(Roster.key(zone), rows.roster().get().version())
                                            .replace(
                                                    key,
                                                    rows.ack().get().version(),
                                                    SettingsStore.ackValue(zone, version));
                            return mStore.commit(transaction)
                                    .thenApply(result -> written(result, version));
                        },
                        mReplicator::runOnLoop);
    }

    private record RosterAndAck(Optional<Row> roster, Optional<Row> ack) {}

    private @Nullable ZoneAcks written(TransactionResult result, long version) {
        if (result instanceof TransactionResult.Conflict conflict) {
            mMetrics.counter("settings.acks.conflicts").inc();
            // A conflict returns the current row even while reads are stale.
            return conflict.failed().stream()
                    .filter(row -> row.key().equals(SettingsStore.ackKey(mMembership.zone())))
                    .filter(row -> row.value() != null)
                    .findAny()
                    .map(row -> acks(SettingsStore.integerField(row, "version")))
                    .orElse(null);
        }
        if (!(result instanceof TransactionResult.Committed)) {
            return null;
        }
        mMetrics.counter("settings.acks.written").inc();
        LOG.atInfo().log(
                "settings: zone %s acknowledged version %d, active on all members",
                mMembership.zone(), version);
        return acks(version);
    }

    private ZoneAcks acks(long version) {
        return ZoneAcks.of(0, Map.of(mMembership.zone(), version));
    }

    private static @Nullable Roster parse(Row row) {
        try {
            return row.value() == null
                    ? null
                    : Json.mapper().treeToValue(row.value(), Roster.class);
        } catch (JsonProcessingException e) {
            LOG.atWarning().log("settings: malformed row %s", row.key());
            return null;
        }
    }
}
