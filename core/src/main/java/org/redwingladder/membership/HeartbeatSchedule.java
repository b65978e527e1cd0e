package org.redwingladder.membership;

/**
 * Computes the heartbeat intervals, lease periods and waits of the membership protocol. Intervals
 * grow with the number of senders, so that the load on each voter stays bounded.
 *
 * @param minOwnerIntervalMillis the shortest heartbeat interval of owners and voters
 * @param ownerIntervalPerProcessMillis the heartbeat interval of owners and voters per owner or
 *     voter
 * @param minMemberIntervalMillis the shortest heartbeat interval of other members
 * @param memberIntervalPerMemberMillis the heartbeat interval of other members per member
 */
public record HeartbeatSchedule(
        long minOwnerIntervalMillis,
        long ownerIntervalPerProcessMillis,
        long minMemberIntervalMillis,
        long memberIntervalPerMemberMillis) {

    /** Limits a voter to about five heartbeats a second at 96 members, 14 owners and 7 voters. */
    public static final HeartbeatSchedule DEFAULT = new HeartbeatSchedule(1000, 250, 5000, 600);

    /** The lease period, in heartbeat intervals. */
    public static final int LEASE_INTERVALS = 6;

    /** The time without a heartbeat after which a member is suspected, in heartbeat intervals. */
    public static final int SUSPICION_INTERVALS = 5;

    // Redwing-Start-By is compared on wall clocks, which may differ by up to 500 ms.
    private static final long WALL_CLOCK_MARGIN_MILLIS = 1000;

    /** Returns the heartbeat interval of owners and voters. */
    public long ownerIntervalMillis(int ownersAndVoters) {
        return Math.max(minOwnerIntervalMillis, ownerIntervalPerProcessMillis * ownersAndVoters);
    }

    /** Returns the heartbeat interval of members that neither own a site nor vote. */
    public long memberIntervalMillis(int members) {
        return Math.max(minMemberIntervalMillis, memberIntervalPerMemberMillis * members);
    }

    /** Returns the lease period, which starts when the acknowledged heartbeat was sent. */
    public static long leaseMillis(long heartbeatMillis) {
        return LEASE_INTERVALS * heartbeatMillis;
    }

    /** Returns the lease period extended by 2% clock drift and the wall-clock margin. */
    public static long settleWaitMillis(long heartbeatMillis) {
        long lease = leaseMillis(heartbeatMillis);
        return lease + (lease + 49) / 50 + WALL_CLOCK_MARGIN_MILLIS;
    }
}
