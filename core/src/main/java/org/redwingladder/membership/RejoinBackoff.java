package org.redwingladder.membership;

/** Decides when a process that the others have dropped may ask to join again. */
final class RejoinBackoff {
    // Doubled for each further drop, so that a process with one bad link does not move its sites
    // every few seconds.
    private static final long INITIAL_BACKOFF_MILLIS = 10_000;
    private static final int MAX_DOUBLINGS = 5;
    private static final int CONTACT_INTERVALS = 2;

    private int mRemovals;
    private long mNextJoinAt = Long.MIN_VALUE;

    void recordRemoval(long now) {
        mNextJoinAt = now + (INITIAL_BACKOFF_MILLIS << Math.min(mRemovals, MAX_DOUBLINGS));
        mRemovals++;
    }

    /**
     * Returns whether the process may ask to join. A process that was never dropped may always ask;
     * a dropped one only while a quorum answers it, or it would be dropped again.
     */
    boolean mayJoin(Roster roster, PeerTable peers, long now) {
        long since = now - CONTACT_INTERVALS * roster.heartbeatMillis();
        return mRemovals == 0
                || (now >= mNextJoinAt
                        && Quorum.isReached(
                                roster.voters(),
                                id -> peers.isTerminated(id) || peers.lastAnswerAt(id) >= since));
    }
}
