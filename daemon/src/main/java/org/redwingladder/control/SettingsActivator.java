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
 * Keeps the settings and zone acknowledgements that this process has received, and activates them.
 *
 * <p>A version is activated, that is, passed to the listener, only if the zone has an
 * acknowledgement row and the version is not below that row or the roster's settings floor: the
 * first read after a start may be stale. Used on the event loop only.
 */
final class SettingsActivator {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int RETAINED_VERSIONS = 64;

    private final ZoneMembership mMembership;
    private final SettingsListener mListener;
    private final MetricRegistry mMetrics;
    private final SettingsReplica mReplica = SettingsReplica.create(RETAINED_VERSIONS);
    private ZoneAcks mAcks = ZoneAcks.of(0, Map.of());
    private long mActiveVersion;
    private @Nullable ZoneAcks mActiveAcks;

    SettingsActivator(
            ZoneMembership membership, SettingsListener listener, MetricRegistry metrics) {
        mMembership = membership;
        mListener = listener;
        mMetrics = metrics;
    }

    SettingsReplica replica() {
        return mReplica;
    }

    ZoneAcks acks() {
        return mAcks;
    }

    long version() {
        return mReplica.version();
    }

    /** Returns the active version; 0 before the first activation. */
    long activeVersion() {
        return mActiveVersion;
    }

    /** Applies changes in order, then a snapshot; whatever is not newer is ignored. */
    void apply(@Nullable List<SettingsChange> changes, @Nullable SettingsTree snapshot) {
        if (changes != null) {
            changes.forEach(change -> recordResult(mReplica.accept(change)));
        }
        if (snapshot != null) {
            recordResult(mReplica.accept(snapshot));
        }
    }

    private void recordResult(SettingsReplica.Result result) {
        if (result instanceof SettingsReplica.Result.Rejected rejected) {
            mMetrics.counter("settings.rejected").inc();
            LOG.atSevere().log(
                    "settings: version %d remains active, the next version is invalid: %s",
                    mReplica.version(), rejected.errors());
        } else if (result instanceof SettingsReplica.Result.Gap) {
            mMetrics.counter("settings.gaps").inc();
        }
    }

    /** Merges acknowledgements; returns whether any was new. */
    boolean mergeAcks(ZoneAcks acks) {
        ZoneAcks merged = mAcks.merge(acks);
        boolean changed = !merged.equals(mAcks);
        mAcks = merged;
        return changed;
    }

    /**
     * Returns the lowest version that may still be active in a zone; at most the version that was
     * known when the acknowledgements were read.
     */
    long lowestInUse() {
        long lowest = Math.min(mAcks.asOf(), version());
        for (long ack : mAcks.byZone().values()) {
            lowest = Math.min(lowest, ack);
        }
        return lowest;
    }

    /** Adds older versions that a snapshot lacks; while they are unknown, cap quotas are 0. */
    void backfillHistory(List<SettingsChange> changes) {
        if (mReplica.backfillHistory(changes)) {
            mActiveAcks = null;
            activate();
        }
    }

    /** Returns whether every zone with an acknowledgement row has acknowledged this version. */
    boolean acksComplete() {
        return mAcks.asOf() >= version()
                && mAcks.byZone().values().stream().allMatch(ack -> ack >= version());
    }

    /** Returns the changes after version {@code after}, or a snapshot if they are not retained. */
    SettingsMessage messageAfter(long after) {
        MemberId self = mMembership.member().id();
        List<SettingsChange> changes = after < version() ? mReplica.changesAfter(after) : List.of();
        boolean snapshot = after < version() && changes.isEmpty();
        return new SettingsMessage(
                self.host(),
                self.incarnation(),
                version(),
                mActiveVersion,
                changes.isEmpty() ? null : changes,
                snapshot ? SettingsMessage.Snapshot.of(mReplica.tree()) : null,
                mAcks);
    }

    /** Activates the settings and acknowledgements if they are new and may be active. */
    void activate() {
        Roster roster = mMembership.roster();
        Long ack = mAcks.byZone().get(mMembership.zone());
        long version = version();
        if (version == 0
                || roster == null
                || ack == null
                || version < ack
                || version < roster.settingsFloor()
                || (mActiveVersion == version && mAcks.equals(mActiveAcks))) {
            return;
        }
        mActiveVersion = version;
        mActiveAcks = mAcks;
        mReplica.trimHistoryBefore(lowestInUse());
        mListener.settingsUpdated(mReplica.history(), mAcks);
    }
}
