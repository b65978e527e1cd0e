package org.redwingladder.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TokenBucketTest {
    private static final long SECOND = 1_000_000_000L;

    /** Returns the largest number of instants in any half-open window of one second. */
    private static int busiestSecond(List<Long> instants) {
        int busiest = 0;
        for (int first = 0; first < instants.size(); first++) {
            int count = 0;
            for (int i = first; i < instants.size(); i++) {
                if (instants.get(i) - instants.get(first) < SECOND) {
                    count++;
                }
            }
            busiest = Math.max(busiest, count);
        }
        return busiest;
    }

    private static void acquireUntil(
            TokenBucket bucket, long until, Random random, List<Long> acquired) {
        long now = acquired.isEmpty() ? 0 : acquired.get(acquired.size() - 1);
        while (now < until) {
            // Mixes bursts, short gaps and pauses longer than a second.
            now +=
                    random.nextInt(4) == 0
                            ? random.nextLong(2 * SECOND)
                            : random.nextLong(2_000_000);
            if (now < until && bucket.tryAcquire(now)) {
                acquired.add(now);
            }
        }
    }

    /** A burst and the refill after it must not exceed the cap in any window of one second. */
    @Property(tries = 60, seed = "20261204")
    void neverExceedsTheCapInAnySecond(
            @ForAll @LongRange(min = 1, max = 300) long cap, @ForAll long seed) {
        List<Long> acquired = new ArrayList<>();

        acquireUntil(TokenBucket.createEmpty(cap, 0), 6 * SECOND, new Random(seed), acquired);

        assertThat((long) busiestSecond(acquired)).isLessThanOrEqualTo(cap);
    }

    /** The former and the new owner together must not exceed the cap after a change of owner. */
    @Property(tries = 60, seed = "20261204")
    void staysWithinTheCapAcrossATakeover(
            @ForAll @LongRange(min = 1, max = 300) long cap,
            @ForAll @LongRange(min = 1, max = 2 * SECOND) long ownerChange,
            @ForAll long seed) {
        Random random = new Random(seed);
        List<Long> acquired = new ArrayList<>();

        acquireUntil(TokenBucket.createEmpty(cap, -2 * SECOND), ownerChange, random, acquired);
        acquireUntil(
                TokenBucket.createEmpty(cap, ownerChange),
                ownerChange + 2 * SECOND,
                random,
                acquired);

        assertThat((long) busiestSecond(acquired)).isLessThanOrEqualTo(cap);
    }

    @Nested
    class Use {
        /** The bucket must not leave much of its cap unused under steady demand. */
        @Test
        void grantsNearlyTheFullRateToSteadyDemand() {
            TokenBucket bucket = TokenBucket.createEmpty(400, 0);
            int acquired = 0;
            for (long now = 0; now < 10 * SECOND; now += 100_000) {
                acquired += bucket.tryAcquire(now) ? 1 : 0;
            }

            assertThat(acquired).isBetween(3700, 4000);
        }

        /** A new owner must not start with tokens that the former owner may have used. */
        @Test
        void startsEmpty() {
            TokenBucket bucket = TokenBucket.createEmpty(100, 5 * SECOND);

            assertThat(bucket.tryAcquire(5 * SECOND)).isFalse();
            assertThat(bucket.nextTokenNanos()).isGreaterThan(5 * SECOND);
            assertThat(bucket.tryAcquire(bucket.nextTokenNanos())).isTrue();
        }

        /** A cap of zero would cause a division by zero. */
        @Test
        void rejectsCapsOutOfRange() {
            assertThatThrownBy(() -> TokenBucket.createEmpty(0, 0))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }
}
