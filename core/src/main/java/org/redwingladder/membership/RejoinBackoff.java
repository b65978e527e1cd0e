package org.redwingladder.membership;

/** Exponential backoff before a process that was removed from the roster may rejoin. */
final class RejoinBackoff {
    // Doubles with each removal, so that a process with one bad link does not make its sites move
    // every few seconds.
    private static final long INITIAL_BACKOFF_MILLIS = 10_000;
    private static final int MAX_DOUBLINGS = 5;
    private static final int CONTACT_INTERVALS = 2;

    private int mRemovals;
    private long mNextJoinAt = Long.MIN_VALUE;

    /** Records that the process was removed at {@code now}, which starts the next backoff. */
    void recordRemoval(long now) {
        mNextJoinAt = now + (INITIAL_BACKOFF_MILLIS << Math.min(mRemovals, MAX_DOUBLINGS));
        mRemovals++;
    }

    /**
     * Returns whether the process may request to join. A process that was never removed always may;
     * a removed one only after the backoff and while a quorum of voters answers it, since it would
     * otherwise be removed again.
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
