package org.redwingladder.control;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.redwingladder.membership.MemberId;
import org.redwingladder.membership.Roster;
import org.redwingladder.settings.SettingsChange;
import org.redwingladder.settings.SettingsReplica;
import org.redwingladder.settings.SettingsTree;
import org.redwingladder.settings.ZoneAcks;

/**
 * Holds the settings and acknowledgements that this process knows, and delivers them.
 *
 * <p>Settings are delivered only when the zone has an acknowledgement row and the version reaches
 * both that row and the roster's floor: what was read at the start may be stale. Used on the
 * control loop only.
 */
final class SettingsActivator {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int KEPT_VERSIONS = 64;

    private final ZoneMembership mMembership;
    private final SettingsListener mListener;
    private final MetricRegistry mMetrics;
    private final SettingsReplica mOrder = SettingsReplica.create(KEPT_VERSIONS);
    private ZoneAcks mAcks = ZoneAcks.of(0, Map.of());
    private long mServed;
    private @Nullable ZoneAcks mDeliveredAcks;

    SettingsActivator(ZoneMembership membership, SettingsListener sink, MetricRegistry metrics) {
        mMembership = membership;
        mListener = sink;
        mMetrics = metrics;
    }

    SettingsReplica order() {
        return mOrder;
    }

    ZoneAcks acks() {
        return mAcks;
    }

    long version() {
        return mOrder.version();
    }

    /** Returns the version that this process serves by; 0 before the first. */
    long served() {
        return mServed;
    }

    /** Takes changes in order and a snapshot, as far as they are newer. */
    void enter(@Nullable List<SettingsChange> changes, @Nullable SettingsTree snapshot) {
        if (changes != null) {
            changes.forEach(change -> check(mOrder.accept(change)));
        }
        if (snapshot != null) {
            check(mOrder.accept(snapshot));
        }
    }

    private void check(SettingsReplica.Result result) {
        if (result instanceof SettingsReplica.Result.Rejected rejected) {
            mMetrics.counter("settings.rejected").inc();
            LOG.atSevere().log(
                    "settings: version %d stays in force, the next one is not valid here: %s",
                    mOrder.version(), rejected.errors());
        } else if (result instanceof SettingsReplica.Result.Gap) {
            mMetrics.counter("settings.gaps").inc();
        }
    }

    /** Takes acknowledgements; returns whether any was news. */
    boolean enter(ZoneAcks acks) {
        ZoneAcks merged = mAcks.merge(acks);
        boolean news = !merged.equals(mAcks);
        mAcks = merged;
        return news;
    }

    /**
     * Returns the lowest version that a zone may still serve by; at most the version known when the
     * acknowledgements were read.
     */
    long lowestInUse() {
        long lowest = Math.min(mAcks.asOf(), version());
        for (long acknowledged : mAcks.byZone().values()) {
            lowest = Math.min(lowest, acknowledged);
        }
        return lowest;
    }

    /** Takes older versions that a snapshot lacks, so that parts of caps need not be 0. */
    void extendHistory(List<SettingsChange> changes) {
        if (mOrder.backfillHistory(changes)) {
            mDeliveredAcks = null;
            deliver();
        }
    }

    /** Returns whether all zones that have ever served are known to serve by this version. */
    boolean acksComplete() {
        return mAcks.asOf() >= version()
                && mAcks.byZone().values().stream().allMatch(ack -> ack >= version());
    }

    /** Returns what a process that has version {@code after} lacks. */
    SettingsMessage messageAfter(long after) {
        MemberId self = mMembership.member().id();
        List<SettingsChange> changes = after < version() ? mOrder.changesAfter(after) : List.of();
        boolean snapshot = after < version() && changes.isEmpty();
        return new SettingsMessage(
                self.host(),
                self.incarnation(),
                version(),
                mServed,
                changes.isEmpty() ? null : changes,
                snapshot ? SettingsMessage.Snapshot.of(mOrder.tree()) : null,
                mAcks);
    }

    /** Delivers the settings and acknowledgements if they are news and may be served by. */
    void deliver() {
        Roster roster = mMembership.roster();
        Long ack = mAcks.byZone().get(mMembership.zone());
        long version = version();
        if (version == 0
                || roster == null
                || ack == null
                || version < ack
                || version < roster.settingsFloor()
                || (mServed == version && mAcks.equals(mDeliveredAcks))) {
            return;
        }
        mServed = version;
        mDeliveredAcks = mAcks;
        mOrder.trimHistoryBefore(lowestInUse());
        mListener.settingsUpdated(mOrder.history(), mAcks);
    }
}
