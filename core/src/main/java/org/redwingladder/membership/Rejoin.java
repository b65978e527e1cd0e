package org.redwingladder.membership;

/** Decides when a process that the others have dropped may ask to join again. */
final class Rejoin {
    // Doubled for each further drop, so that a process with one bad link does not move its sites
    // every few seconds.
    private static final long FIRST_WAIT_MILLIS = 10_000;
    private static final int MAX_DOUBLINGS = 5;
    private static final int CONTACT_INTERVALS = 2;

    private int mDrops;
    private long mNotBefore = Long.MIN_VALUE;

    void dropped(long now) {
        mNotBefore = now + (FIRST_WAIT_MILLIS << Math.min(mDrops, MAX_DOUBLINGS));
        mDrops++;
    }

    /**
     * Returns whether the process may ask to join. A process that was never dropped may always ask;
     * a dropped one only while a quorum answers it, or it would be dropped again.
     */
    boolean mayJoin(Roster roster, Peers peers, long now) {
        long since = now - CONTACT_INTERVALS * roster.heartbeatMillis();
        return mDrops == 0
                || (now >= mNotBefore
                        && Quorum.isReached(
                                roster.voters(),
                                id -> peers.isGone(id) || peers.answeredAt(id) >= since));
    }
}
