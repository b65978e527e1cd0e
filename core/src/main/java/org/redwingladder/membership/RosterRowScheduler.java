package org.redwingladder.membership;

import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Schedules one process's reads and compare-and-set writes of the roster row. At most one operation
 * is in flight, so that the version that a write expects belongs to the roster it was derived from.
 */
final class RosterRowScheduler {
    // The delay of a write for each live member of lower rank. The process writes after the delay
    // because those members may not reach the platform.
    private static final int RANK_DELAY_INTERVALS = 2;
    private static final int MAX_RANK = 3;
    private static final int STABLE_POLL_INTERVALS = 10;
    private static final int UNSTABLE_POLL_INTERVALS = 2;
    private static final long REREAD_DELAY_MILLIS = 200;
    private static final long MIN_FLOOR_WRITE_INTERVAL_MILLIS = 2000;

    // Exceeds the deadline of any call to the platform, after which no result arrives.
    private static final long OPERATION_TIMEOUT_MILLIS = 30_000;

    private final HeartbeatSchedule mSchedule;
    private @Nullable VersionedRoster mRow;
    private @Nullable Roster mWritten;
    private @Nullable Roster mChangeDueFor;
    private long mChangeDueSince;
    private long mLastReadAt = Long.MIN_VALUE / 2;
    private long mRetryAt = Long.MIN_VALUE;
    private long mNextFloorWriteAt = Long.MIN_VALUE;
    private long mReadingUntil = Long.MIN_VALUE;
    private long mWritingUntil = Long.MIN_VALUE;
    private long mNow = Long.MIN_VALUE;
    private boolean mSkipRankDelay;

    /**
     * The state of the deciding process.
     *
     * @param holdsLease whether it holds a valid quorum lease
     * @param mayRequestMembership whether it may request changes of its own membership
     * @param services the services with a site in the zone
     * @param settingsVersion the settings version that it has applied
     * @param hostsLeaving the hosts that the platform's list marks as leaving
     */
    record LocalState(
            boolean holdsLease,
            boolean mayRequestMembership,
            Set<String> services,
            long settingsVersion,
            Set<String> hostsLeaving) {}

    RosterRowScheduler(HeartbeatSchedule schedule) {
        mSchedule = schedule;
    }

    boolean isWriting() {
        return mNow < mWritingUntil;
    }

    /** Returns whether this process wrote the epoch of {@code roster}. */
    boolean wroteEpochOf(Roster roster) {
        return mWritten != null && mWritten.epoch() == roster.epoch();
    }

    /** Makes the next write skip the delay for members of lower rank. */
    void skipRankDelay() {
        mSkipRankDelay = true;
    }

    void readFailed(long now) {
        mReadingUntil = Long.MIN_VALUE;
        mRetryAt = now + 2 * mSchedule.minOwnerIntervalMillis();
    }

    void writeEnded() {
        mWritingUntil = Long.MIN_VALUE;
    }

    /**
     * Records that a write may or may not have taken effect, so that the row must be read again.
     */
    void writeOutcomeUnknown(long now) {
        mWritingUntil = Long.MIN_VALUE;
        mRow = null;
        mRetryAt = now + REREAD_DELAY_MILLIS;
    }

    /** Records a row that was read or written, unless a later version is known. */
    void observeRow(@Nullable VersionedRoster row) {
        mReadingUntil = Long.MIN_VALUE;
        if (row != null && (mRow == null || row.version() > mRow.version())) {
            mRow = row;
        }
    }

    /** Reads the row if the last read is at least {@code periodMillis} old. */
    void readIfDue(long now, long periodMillis, List<MembershipEffect> effects) {
        mNow = now;
        if (now >= mLastReadAt + periodMillis
                && now >= mRetryAt
                && now >= mReadingUntil
                && now >= mWritingUntil) {
            mReadingUntil = now + OPERATION_TIMEOUT_MILLIS;
            mLastReadAt = now;
            effects.add(new MembershipEffect.ReadRow());
        }
    }

    void write(long version, Roster roster, long now, List<MembershipEffect> effects) {
        mNow = now;
        mWritten = roster;
        mWritingUntil = now + OPERATION_TIMEOUT_MILLIS;
        effects.add(new MembershipEffect.WriteRow(version, roster));
    }

    /** Starts the read or write that is due. */
    void progress(
            ReconfigurationPolicy policy, LocalState localState, List<MembershipEffect> effects) {
        mNow = policy.now();
        Roster roster = policy.roster();
        int rank = Math.min(policy.rank(), MAX_RANK);
        Roster next = nextRoster(policy, localState, rank);
        if (next == null) {
            mChangeDueFor = null;
            poll(policy, localState, rank, effects);
            return;
        }
        if (mChangeDueFor == null || mChangeDueFor.epoch() != roster.epoch()) {
            mChangeDueSince = policy.now();
        }
        mChangeDueFor = roster;
        long wait = RANK_DELAY_INTERVALS * rank * roster.heartbeatMillis();
        if (!policy.isMember()) {
            // Leaves the write to the members, if there are any, which batch several joins.
            wait += mSchedule.minOwnerIntervalMillis();
        }
        if (policy.now() < mChangeDueSince + wait && !mSkipRankDelay) {
            poll(policy, localState, rank, effects);
        } else if (mRow == null || !mRow.roster().equals(roster)) {
            readIfDue(policy.now(), REREAD_DELAY_MILLIS, effects);
        } else if (policy.now() >= mWritingUntil && policy.now() >= mReadingUntil) {
            mSkipRankDelay = false;
            mNextFloorWriteAt = policy.now() + MIN_FLOOR_WRITE_INTERVAL_MILLIS;
            write(mRow.version(), next, policy.now(), effects);
        }
    }

    private @Nullable Roster nextRoster(
            ReconfigurationPolicy policy, LocalState localState, int rank) {
        Roster roster = policy.roster();
        long floor = policy.isMember() ? localState.settingsVersion() : 0;
        if (!roster.settled()) {
            if (policy.maySettle()) {
                return roster.settle().withSettingsFloor(floor);
            }
        } else {
            // Only the first live member applies the host list, so that processes with lists of
            // different age do not undo each other's changes.
            Set<String> hostsLeaving =
                    rank == 0 && policy.isMember() ? localState.hostsLeaving() : null;
            RosterChange change =
                    policy.pendingChange(localState.mayRequestMembership(), hostsLeaving);
            if (!change.isEmpty()) {
                List<Member> members = change.apply(roster.members());
                int ownersAndVoters =
                        Ownership.countOwnersAndVoters(members, localState.services());
                return change.applyTo(roster, mSchedule.ownerIntervalMillis(ownersAndVoters))
                        .withSettingsFloor(floor);
            }
        }
        boolean raiseFloor =
                floor > roster.settingsFloor()
                        && rank <= 1
                        && localState.holdsLease()
                        && policy.now() >= mNextFloorWriteAt;
        return raiseFloor ? roster.withSettingsFloor(floor) : null;
    }

    private void poll(
            ReconfigurationPolicy policy,
            LocalState localState,
            int rank,
            List<MembershipEffect> effects) {
        boolean stable = policy.isMember() && localState.holdsLease();
        if (stable && rank > 1) {
            return;
        }
        int intervals = stable ? STABLE_POLL_INTERVALS : UNSTABLE_POLL_INTERVALS;
        readIfDue(policy.now(), intervals * policy.roster().heartbeatMillis(), effects);
    }
}
