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

class RateBucketTest {
    private static final long SECOND = 1_000_000_000L;

    /** Counts the obvious way how many of the instants the busiest half-open second holds. */
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

    private static void take(RateBucket bucket, long until, Random random, List<Long> taken) {
        long now = taken.isEmpty() ? 0 : taken.get(taken.size() - 1);
        while (now < until) {
            // Bursts of equal instants, short gaps and pauses longer than a second.
            now +=
                    random.nextInt(4) == 0
                            ? random.nextLong(2 * SECOND)
                            : random.nextLong(2_000_000);
            if (now < until && bucket.tryTake(now)) {
                taken.add(now);
            }
        }
    }

    /** Guards against a burst that, with the refill after it, exceeds the cap in some second. */
    @Property(tries = 60, seed = "20261204")
    void neverExceedsTheCapInAnySecond(
            @ForAll @LongRange(min = 1, max = 300) long cap, @ForAll long seed) {
        List<Long> taken = new ArrayList<>();

        take(RateBucket.createEmpty(cap, 0), 6 * SECOND, new Random(seed), taken);

        assertThat((long) busiestSecond(taken)).isLessThanOrEqualTo(cap);
    }

    /** Guards against a takeover after which both owners together exceed the cap. */
    @Property(tries = 60, seed = "20261204")
    void staysWithinTheCapAcrossATakeover(
            @ForAll @LongRange(min = 1, max = 300) long cap,
            @ForAll @LongRange(min = 1, max = 2 * SECOND) long takeover,
            @ForAll long seed) {
        Random random = new Random(seed);
        List<Long> taken = new ArrayList<>();

        take(RateBucket.createEmpty(cap, -2 * SECOND), takeover, random, taken);
        take(RateBucket.createEmpty(cap, takeover), takeover + 2 * SECOND, random, taken);

        assertThat((long) busiestSecond(taken)).isLessThanOrEqualTo(cap);
    }

    @Nested
    class Use {
        /** Guards against a bucket that strands much of its cap. */
        @Test
        void grantsNearlyTheWholeCapToSteadyDemand() {
            RateBucket bucket = RateBucket.createEmpty(400, 0);
            int taken = 0;
            for (long now = 0; now < 10 * SECOND; now += 100_000) {
                taken += bucket.tryTake(now) ? 1 : 0;
            }

            assertThat(taken).isBetween(3700, 4000);
        }

        /** Guards against a new owner that starts with tokens the former owner has used. */
        @Test
        void startsEmpty() {
            RateBucket bucket = RateBucket.createEmpty(100, 5 * SECOND);

            assertThat(bucket.tryTake(5 * SECOND)).isFalse();
            assertThat(bucket.nextNanos()).isGreaterThan(5 * SECOND);
            assertThat(bucket.tryTake(bucket.nextNanos())).isTrue();
        }

        /** Guards against a cap of zero that divides by zero instead of being refused. */
        @Test
        void refusesCapsOutOfRange() {
            assertThatThrownBy(() -> RateBucket.createEmpty(0, 0))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }
}
