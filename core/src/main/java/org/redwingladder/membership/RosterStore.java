package org.redwingladder.membership;

import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides when one process reads and writes the roster row. There is at most one operation at a
 * time, so that the version that a write expects always belongs to the roster it was derived from.
 */
final class RosterStore {
    // A process that is not the first live member waits so many heartbeat intervals for each live
    // member before it; it then writes too, because the first one may not reach the platform.
    private static final int RANK_INTERVALS = 2;
    private static final int MAX_RANK = 3;
    private static final int POLL_INTERVALS = 10;
    private static final int ANXIOUS_POLL_INTERVALS = 2;
    private static final long REREAD_MILLIS = 200;
    private static final long FLOOR_MILLIS = 2000;

    // Later than the deadline of any call to the platform: its result will not come any more.
    private static final long OPERATION_MILLIS = 30_000;

    private final HeartbeatSchedule mSchedule;
    private @Nullable RosterRow mRow;
    private @Nullable Roster mWritten;
    private @Nullable Roster mNeededFor;
    private long mNeededSince;
    private long mLastReadAt = Long.MIN_VALUE / 2;
    private long mRetryAt = Long.MIN_VALUE;
    private long mNextFloorAt = Long.MIN_VALUE;
    private long mReadingUntil = Long.MIN_VALUE;
    private long mWritingUntil = Long.MIN_VALUE;
    private long mNow = Long.MIN_VALUE;
    private boolean mHurry;

    /**
     * Describes the process that decides.
     *
     * @param confirmed whether it holds acknowledgements from a quorum
     * @param asking whether it may ask for changes that concern itself
     * @param services the services with a site in the zone
     * @param settingsVersion the settings version that it serves by
     * @param hostsLeaving the hosts that the platform's list names as leaving
     */
    record Situation(
            boolean confirmed,
            boolean asking,
            Set<String> services,
            long settingsVersion,
            Set<String> hostsLeaving) {}

    RosterStore(HeartbeatSchedule schedule) {
        mSchedule = schedule;
    }

    boolean writing() {
        return mNow < mWritingUntil;
    }

    /** Returns whether this process wrote the epoch of {@code roster}. */
    boolean wrote(Roster roster) {
        return mWritten != null && mWritten.epoch() == roster.epoch();
    }

    void hurry() {
        mHurry = true;
    }

    void readFailed(long now) {
        mReadingUntil = Long.MIN_VALUE;
        mRetryAt = now + 2 * mSchedule.ownerFloorMillis();
    }

    void writeEnded() {
        mWritingUntil = Long.MIN_VALUE;
    }

    /** Records that a write may or may not have taken effect, so that the row must be read. */
    void writeLost(long now) {
        mWritingUntil = Long.MIN_VALUE;
        mRow = null;
        mRetryAt = now + REREAD_MILLIS;
    }

    void rowKnown(@Nullable RosterRow row) {
        mReadingUntil = Long.MIN_VALUE;
        if (row != null && (mRow == null || row.version() > mRow.version())) {
            mRow = row;
        }
    }

    /** Reads the row if the last read is at least {@code periodMillis} ago. */
    void readIfDue(long now, long periodMillis, List<RosterEffect> effects) {
        mNow = now;
        if (now >= mLastReadAt + periodMillis
                && now >= mRetryAt
                && now >= mReadingUntil
                && now >= mWritingUntil) {
            mReadingUntil = now + OPERATION_MILLIS;
            mLastReadAt = now;
            effects.add(new RosterEffect.ReadRow());
        }
    }

    void write(long version, Roster roster, long now, List<RosterEffect> effects) {
        mNow = now;
        mWritten = roster;
        mWritingUntil = now + OPERATION_MILLIS;
        effects.add(new RosterEffect.WriteRow(version, roster));
    }

    void progress(RosterPlan plan, Situation situation, List<RosterEffect> effects) {
        mNow = plan.now();
        Roster roster = plan.roster();
        int rank = Math.min(plan.rank(), MAX_RANK);
        Roster next = next(plan, situation, rank);
        if (next == null) {
            mNeededFor = null;
            poll(plan, situation, rank, effects);
            return;
        }
        if (mNeededFor == null || mNeededFor.epoch() != roster.epoch()) {
            mNeededSince = plan.now();
        }
        mNeededFor = roster;
        long wait = RANK_INTERVALS * rank * roster.heartbeatMillis();
        if (!plan.isListed()) {
            // Members write for a joining process, and several joins at once, if there are any.
            wait += mSchedule.ownerFloorMillis();
        }
        if (plan.now() < mNeededSince + wait && !mHurry) {
            poll(plan, situation, rank, effects);
        } else if (mRow == null || !mRow.roster().equals(roster)) {
            readIfDue(plan.now(), REREAD_MILLIS, effects);
        } else if (plan.now() >= mWritingUntil && plan.now() >= mReadingUntil) {
            mHurry = false;
            mNextFloorAt = plan.now() + FLOOR_MILLIS;
            write(mRow.version(), next, plan.now(), effects);
        }
    }

    private @Nullable Roster next(RosterPlan plan, Situation situation, int rank) {
        Roster roster = plan.roster();
        long floor = plan.isListed() ? situation.settingsVersion() : 0;
        if (!roster.settled()) {
            if (plan.maySettle()) {
                return roster.settle().withFloor(floor);
            }
        } else {
            // Only the first live member follows the list, so that processes with lists of
            // different
            // age do not undo each other's changes.
            Set<String> hinted = rank == 0 && plan.isListed() ? situation.hostsLeaving() : null;
            RosterChange change = plan.change(situation.asking(), hinted);
            if (!change.isEmpty()) {
                List<Member> members = change.apply(roster.members());
                int busy = Ownership.ownersAndVoters(members, situation.services());
                return change.applyTo(roster, mSchedule.ownerInterval(busy)).withFloor(floor);
            }
        }
        boolean raise =
                floor > roster.settingsFloor()
                        && rank <= 1
                        && situation.confirmed()
                        && plan.now() >= mNextFloorAt;
        return raise ? roster.withFloor(floor) : null;
    }

    private void poll(RosterPlan plan, Situation situation, int rank, List<RosterEffect> effects) {
        boolean calm = plan.isListed() && situation.confirmed();
        if (calm && rank > 1) {
            return;
        }
        int intervals = calm ? POLL_INTERVALS : ANXIOUS_POLL_INTERVALS;
        readIfDue(plan.now(), intervals * plan.roster().heartbeatMillis(), effects);
    }
}
