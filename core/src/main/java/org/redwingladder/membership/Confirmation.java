package org.redwingladder.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the acknowledgements of one epoch and derives until when its member may act as owner.
 * Times are monotonic milliseconds of the member.
 */
public final class Confirmation {
    private final long mEpoch;
    private final List<Member> mVoters;
    private final long mPeriodMillis;
    private final Map<MemberId, Long> mSentAt = new HashMap<>();
    private long mConfirmedUntil = Long.MIN_VALUE;

    private Confirmation(Roster roster) {
        mEpoch = roster.epoch();
        mVoters = roster.voters();
        mPeriodMillis = HeartbeatSchedule.confirmationMillis(roster.heartbeatMillis());
    }

    /** Returns a confirmation of {@code roster}'s epoch without acknowledgements. */
    public static Confirmation of(Roster roster) {
        return new Confirmation(roster);
    }

    /**
     * Records that {@code voter} acknowledged a heartbeat. Processes that are no voters of the
     * epoch and other epochs are ignored.
     *
     * @param epoch the epoch that was acknowledged
     * @param sentAt when the heartbeat was sent
     */
    public void acknowledged(MemberId voter, long epoch, long sentAt) {
        if (epoch != mEpoch || Roster.find(mVoters, voter) == null) {
            return;
        }
        mSentAt.merge(voter, sentAt, Math::max);
        long latest = Quorum.latest(mVoters, id -> mSentAt.getOrDefault(id, Long.MIN_VALUE));
        if (latest != Long.MIN_VALUE) {
            mConfirmedUntil = latest + mPeriodMillis;
        }
    }

    /** Returns the end of the confirmation; {@code Long.MIN_VALUE} if there was none. */
    public long confirmedUntil() {
        return mConfirmedUntil;
    }

    /** Returns whether the member may act at {@code now}. */
    public boolean confirmedAt(long now) {
        return now < mConfirmedUntil;
    }
}
