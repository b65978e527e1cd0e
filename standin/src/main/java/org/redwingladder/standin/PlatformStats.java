package org.redwingladder.standin;

/**
 * Counters of the platform since its start.
 *
 * @param reads all reads: rows, transaction results, objects and the host list
 * @param writes all writes: transactions, committed or not, and object puts
 * @param conflicts transactions whose checks failed
 * @param lostAnswers writes that took effect but whose response was dropped
 * @param refused requests whose connection was closed by a fault
 * @param throttled requests that exceeded a rate limit
 * @param rows rows in the table
 */
public record PlatformStats(
        long reads,
        long writes,
        long conflicts,
        long lostAnswers,
        long refused,
        long throttled,
        long rows) {}
