package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryShareTest {
    private static final long SECOND = 1_000_000_000L;

    @Nested
    class Budget {
        /** Guards against a storm of repeats when every send fails on all hosts at once. */
        @Test
        void staysWithinTheBoundOfAllHosts() {
            int hosts = 23;
            RetryShare[] shares = new RetryShare[hosts];
            for (int i = 0; i < hosts; i++) {
                shares[i] = RetryShare.create(0.2, 130, 10 * SECOND);
            }
            Random random = new Random(7);
            int repeats = 0;
            int requests = 0;
            for (long now = 0; now < 10 * SECOND; now += SECOND / 100) {
                RetryShare share = shares[random.nextInt(hosts)];
                share.request(now);
                requests++;
                while (share.tryTake(hosts, now)) {
                    repeats++;
                }
            }
            assertThat((double) repeats).isLessThanOrEqualTo(0.2 * requests + 130);
            assertThat(repeats).isPositive();
        }

        /** Guards against a budget that never recovers. */
        @Test
        void comesBackAfterTheWindow() {
            RetryShare share = RetryShare.create(0, 10, 10 * SECOND);
            int first = 0;
            while (share.tryTake(1, 0)) {
                first++;
            }
            assertThat(first).isBetween(1, 10);
            assertThat(share.tryTake(1, 5 * SECOND)).isFalse();
            assertThat(share.tryTake(1, 11 * SECOND)).isTrue();
        }
    }
}
