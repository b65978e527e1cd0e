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
 * Writes, as a steward, the lowest settings version that any member of the zone serves by.
 *
 * <p>The first row is written at the newest version, before any member serves. A raise needs that
 * every process in the roster row serves by the version and that the row's floor keeps later ones
 * from joining below it; the row's version is checked in the same transaction.
 */
final class SettingsAckWriter {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final SettingsReplicator mDriver;
    private final SettingsActivator mState;
    private final ZoneMembership mMembership;
    private final SettingsStore mStore;
    private final MetricRegistry mMetrics;
    private boolean mBusy;
    private long mWanted;
    private long mWantedAt;

    SettingsAckWriter(
            SettingsReplicator driver,
            SettingsActivator state,
            ZoneMembership membership,
            SettingsStore store,
            MetricRegistry metrics) {
        mDriver = driver;
        mState = state;
        mMembership = membership;
        mStore = store;
        mMetrics = metrics;
    }

    /** Writes what has changed, if anything. */
    void tick() {
        Roster roster = mMembership.roster();
        long version = mState.order().version();
        if (mBusy || roster == null || version == 0) {
            return;
        }
        Long row = mState.acks().byZone().get(mMembership.zone());
        if (row == null) {
            run(writeFirst(version));
            return;
        }
        long lowest = lowestServed(roster.members());
        if (lowest <= row || roster.settingsFloor() < lowest) {
            return;
        }
        if (mWanted <= row) {
            mWanted = lowest;
            mWantedAt = mDriver.nowMillis() + drainMillis(row, lowest);
        }
        if (mDriver.nowMillis() >= mWantedAt) {
            run(raise(mWanted));
        }
    }

    private long lowestServed(List<Member> members) {
        long lowest = Long.MAX_VALUE;
        for (Member member : members) {
            lowest = Math.min(lowest, mDriver.knownVersionOf(member));
        }
        return lowest;
    }

    /**
     * Returns how long requests that started under an older, higher in-flight part may still run.
     * Another zone may use what was given up only after they have ended.
     */
    private long drainMillis(long from, long to) {
        NavigableMap<Long, Settings> history = mState.order().history();
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
            boolean same =
                    before.caps().stream()
                            .anyMatch(
                                    p ->
                                            p.cap().equals(part.cap())
                                                    && p.inFlight() != null
                                                    && limit != null
                                                    && p.inFlight() <= limit);
            if (limit != null && !same) {
                return true;
            }
        }
        return false;
    }

    private void run(CompletableFuture<@Nullable ZoneAcks> task) {
        mBusy = true;
        task.whenComplete(
                (acks, failure) ->
                        mDriver.later(
                                () -> {
                                    mBusy = false;
                                    if (acks != null) {
                                        mDriver.acksKnown(acks);
                                    } else if (failure != null) {
                                        mMetrics.counter("settings.acks.failed").inc();
                                    }
                                }));
    }

    /** Writes the zone's first row, if this process knows the newest version. */
    private CompletableFuture<@Nullable ZoneAcks> writeFirst(long version) {
        String zone = mMembership.zone();
        String key = SettingsStore.ackKey(zone);
        return mStore.row(key)
                .thenCombine(mStore.head(), (row, head) -> new First(row, head))
                .thenCompose(
                        first -> {
                            if (first.row().isPresent()) {
                                return CompletableFuture.completedFuture(
                                        acks(SettingsStore.number(first.row().get(), "version")));
                            }
                            if (first.head().version() != version) {
                                return CompletableFuture.<@Nullable ZoneAcks>completedFuture(null);
                            }
                            Transaction transaction =
                                    Transaction.of(UUID.randomUUID().toString())
                                            .check(SettingsStore.HEAD, first.head().row())
                                            .replace(key, 0, SettingsStore.ackValue(zone, version));
                            return mStore.commit(transaction)
                                    .thenApply(result -> written(result, version));
                        });
    }

    private record First(Optional<Row> row, SettingsStore.Head head) {}

    /** Raises the row, if the roster row as it is now allows it. */
    private CompletableFuture<@Nullable ZoneAcks> raise(long version) {
        String zone = mMembership.zone();
        String key = SettingsStore.ackKey(zone);
        return mStore.row(Roster.key(zone))
                .thenCombine(mStore.row(key), (roster, ack) -> new Raise(roster, ack))
                .thenComposeAsync(
                        rows -> {
                            Roster roster =
                                    rows.roster().map(SettingsAckWriter::parse).orElse(null);
                            if (roster == null
                                    || rows.ack().isEmpty()
                                    || roster.settingsFloor() < version
                                    || lowestServed(roster.members()) < version) {
                                return CompletableFuture.<@Nullable ZoneAcks>completedFuture(null);
                            }
                            long now = SettingsStore.number(rows.ack().get(), "version");
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
                        mDriver::later);
    }

    private record Raise(Optional<Row> roster, Optional<Row> ack) {}

    private @Nullable ZoneAcks written(TransactionResult result, long version) {
        if (result instanceof TransactionResult.Conflict conflict) {
            mMetrics.counter("settings.acks.conflicts").inc();
            // The conflict shows the row as it is, even while reads are stale.
            return conflict.failed().stream()
                    .filter(row -> row.key().equals(SettingsStore.ackKey(mMembership.zone())))
                    .filter(row -> row.value() != null)
                    .findAny()
                    .map(row -> acks(SettingsStore.number(row, "version")))
                    .orElse(null);
        }
        if (!(result instanceof TransactionResult.Committed)) {
            return null;
        }
        mMetrics.counter("settings.acks.written").inc();
        LOG.atInfo().log(
                "settings: all members of zone %s serve by version %d or a later one",
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
            LOG.atWarning().log("settings: unreadable row %s", row.key());
            return null;
        }
    }
}
