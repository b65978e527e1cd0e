package org.redwingladder.membership;

import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Decides whether a set of voters is a quorum: more than half of them, or exactly half including
 * the first voter. Any two quorums of the same voters intersect.
 */
public final class Quorum {
    private Quorum() {}

    /** Returns whether the voters that {@code agrees} accepts form a quorum. */
    public static boolean isReached(List<Member> voters, Predicate<MemberId> agrees) {
        return latest(voters, id -> agrees.test(id) ? 1 : Long.MIN_VALUE) == 1;
    }

    /**
     * Returns the latest time for which a quorum has a time at least as late.
     *
     * @param voters the voters in roster order
     * @param times returns a voter's time, {@code Long.MIN_VALUE} if it has none
     * @return {@code Long.MIN_VALUE} if no quorum has a time
     */
    public static long latest(List<Member> voters, ToLongFunction<MemberId> times) {
        int count = voters.size();
        if (count == 0) {
            return Long.MIN_VALUE;
        }
        long[] sorted = voters.stream().mapToLong(v -> times.applyAsLong(v.id())).toArray();
        long first = sorted[0];
        Arrays.sort(sorted);
        long majority = sorted[count - (count / 2 + 1)];
        if (count % 2 != 0) {
            return majority;
        }
        // The half with the first voter: its time and the best count/2 - 1 of all the others. When
        // the first voter is among the best count/2, the count/2 best times are such a half.
        long half = Math.min(first, sorted[count - count / 2]);
        return Math.max(majority, half);
    }
}
