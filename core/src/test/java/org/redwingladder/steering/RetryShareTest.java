package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryShareTest {
    private static final long SECOND = 1_000_000_000L;

    @Nested
    class Budget {
        /** A retry storm must not occur when every attempt fails on all hosts. */
        @Test
        void staysWithinTheBoundOfAllHosts() {
            int hosts = 23;
            RetryShare[] budgets = new RetryShare[hosts];
            for (int i = 0; i < hosts; i++) {
                budgets[i] = RetryShare.create(0.2, 130, 10 * SECOND);
            }
            Random random = new Random(7);
            int retries = 0;
            int requests = 0;
            for (long now = 0; now < 10 * SECOND; now += SECOND / 100) {
                RetryShare budget = budgets[random.nextInt(hosts)];
                budget.request(now);
                requests++;
                while (budget.tryTake(hosts, now)) {
                    retries++;
                }
            }
            assertThat((double) retries).isLessThanOrEqualTo(0.2 * requests + 130);
            assertThat(retries).isPositive();
        }

        /** A used-up budget must recover. */
        @Test
        void comesBackAfterTheWindow() {
            RetryShare budget = RetryShare.create(0, 10, 10 * SECOND);
            int first = 0;
            while (budget.tryTake(1, 0)) {
                first++;
            }
            assertThat(first).isBetween(1, 10);
            assertThat(budget.tryTake(1, 5 * SECOND)).isFalse();
            assertThat(budget.tryTake(1, 11 * SECOND)).isTrue();
        }
    }
}
