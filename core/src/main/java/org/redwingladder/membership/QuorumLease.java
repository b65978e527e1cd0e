package org.redwingladder.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The lease under which a member may act as the owner of its sites in one epoch. Each heartbeat
 * that a quorum of the epoch's voters acknowledges extends it.
 *
 * <p>Times are in milliseconds on the member's monotonic clock.
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

    /** Returns a lease for {@code roster}'s epoch that no voter has acknowledged yet. */
    public static QuorumLease of(Roster roster) {
        return new QuorumLease(roster);
    }

    /**
     * Records that {@code voter} acknowledged a heartbeat. Acknowledgements of other epochs and
     * from processes that are not voters of this epoch are ignored.
     *
     * @param epoch the epoch that was acknowledged
     * @param sentAt when the heartbeat was sent
     */
    public void recordAcknowledgement(MemberId voter, long epoch, long sentAt) {
        if (epoch != mEpoch || Roster.find(mVoters, voter) == null) {
            return;
        }
        mLastAcknowledgedSendAt.merge(voter, sentAt, Math::max);
        long latest =
                Quorum.latest(
                        mVoters, id -> mLastAcknowledgedSendAt.getOrDefault(id, Long.MIN_VALUE));
        if (latest != Long.MIN_VALUE) {
            mExpiresAt = latest + mLeaseMillis;
        }
    }

    /** Returns when the lease expires; {@code Long.MIN_VALUE} if it was never granted. */
    public long expiresAt() {
        return mExpiresAt;
    }

    /** Returns whether the lease has not expired at {@code now}. */
    public boolean isValidAt(long now) {
        return now < mExpiresAt;
    }
}
