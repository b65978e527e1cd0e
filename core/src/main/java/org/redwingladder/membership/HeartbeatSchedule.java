package org.redwingladder.membership;

/**
 * Derives all periods of the membership protocol, in milliseconds.
 *
 * @param ownerFloorMillis the shortest interval of owners and voters
 * @param ownerStepMillis the interval of owners and voters for each of them
 * @param memberFloorMillis the shortest interval of other members
 * @param memberStepMillis the interval of other members for each member
 */
public record HeartbeatSchedule(
        long minOwnerIntervalMillis,
        long ownerIntervalPerProcessMillis,
        long minMemberIntervalMillis,
        long memberIntervalPerMemberMillis) {

    /** Limits a voter to about five heartbeats a second at 96 members, 14 owners and 7 voters. */
    public static final HeartbeatSchedule DEFAULT = new HeartbeatSchedule(1000, 250, 5000, 600);

    /** Counts the heartbeat intervals after which an acknowledgement no longer confirms. */
    public static final int LEASE_INTERVALS = 6;

    /** Counts the heartbeat intervals after which a silent member is suspected. */
    public static final int SUSPICION_INTERVALS = 5;

    // Covers wall clocks that differ by up to 500 ms when Redwing-Start-By is compared.
    private static final long WALL_CLOCK_MARGIN_MILLIS = 1000;

    /** Returns the interval of owners and voters. */
    public long ownerIntervalMillis(int countOwnersAndVoters) {
        return Math.max(minOwnerIntervalMillis, ownerIntervalPerProcessMillis * countOwnersAndVoters);
    }

    /** Returns the interval of members that neither own a site nor vote. */
    public long memberIntervalMillis(int members) {
        return Math.max(minMemberIntervalMillis, memberIntervalPerMemberMillis * members);
    }

    /** Returns how long an acknowledgement confirms, counted from the sending of its heartbeat. */
    public static long leaseMillis(long heartbeatMillis) {
        return LEASE_INTERVALS * heartbeatMillis;
    }

    /** Returns the confirmation period with 2% clock drift and the margin of wall clocks. */
    public static long settleWaitMillis(long heartbeatMillis) {
        long confirmation = leaseMillis(heartbeatMillis);
        return confirmation + (confirmation + 49) / 50 + WALL_CLOCK_MARGIN_MILLIS;
    }
}
