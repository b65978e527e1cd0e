package org.redwingladder.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the acknowledgements of one epoch and derives until when its member may act as owner.
 * Times are monotonic milliseconds of the member.
 */
public final class QuorumLease {
    private final long mEpoch;
    private final List<Member> mVoters;
    private final long mLeaseMillis;
    private final Map<MemberId, Long> mLastAcknowledgedSendAt = new HashMap<>();
    private long mExpiresAt = Long.MIN_VALUE;

    private QuorumLease(Roster roster) {
        mEpoch = roster.epoch();
        mVoters = roster.voters();
        mLeaseMillis = HeartbeatSchedule.leaseMillis(roster.heartbeatMillis());
    }

    /** Returns a confirmation of {@code roster}'s epoch without acknowledgements. */
    public static QuorumLease of(Roster roster) {
        return new QuorumLease(roster);
    }

    /**
     * Records that {@code voter} acknowledged a heartbeat. Processes that are no voters of the
     * epoch and other epochs are ignored.
     *
     * @param epoch the epoch that was acknowledged
     * @param sentAt when the heartbeat was sent
     */
    public void recordAcknowledgement(MemberId voter, long epoch, long sentAt) {
        if (epoch != mEpoch || Roster.find(mVoters, voter) == null) {
            return;
        }
        mLastAcknowledgedSendAt.merge(voter, sentAt, Math::max);
        long latest = Quorum.latest(mVoters, id -> mLastAcknowledgedSendAt.getOrDefault(id, Long.MIN_VALUE));
        if (latest != Long.MIN_VALUE) {
            mExpiresAt = latest + mLeaseMillis;
        }
    }

    /** Returns the end of the confirmation; {@code Long.MIN_VALUE} if there was none. */
    public long expiresAt() {
        return mExpiresAt;
    }

    /** Returns whether the member may act at {@code now}. */
    public boolean isValidAt(long now) {
        return now < mExpiresAt;
    }
}
