package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SlidingWindowRetryBudgetTest {
    private static final long SECOND = 1_000_000_000L;

    @Nested
    class Budget {
        /** A retry storm must not occur when every attempt fails on all hosts. */
        @Test
        void allHostsTogetherStayWithinTheBudget() {
            int hosts = 23;
            SlidingWindowRetryBudget[] budgets = new SlidingWindowRetryBudget[hosts];
            for (int i = 0; i < hosts; i++) {
                budgets[i] = SlidingWindowRetryBudget.create(0.2, 130, 10 * SECOND);
            }
            Random random = new Random(7);
            int retries = 0;
            int requests = 0;
            for (long now = 0; now < 10 * SECOND; now += SECOND / 100) {
                SlidingWindowRetryBudget budget = budgets[random.nextInt(hosts)];
                budget.recordRequest(now);
                requests++;
                while (budget.tryAcquire(hosts, now)) {
                    retries++;
                }
            }
            assertThat((double) retries).isLessThanOrEqualTo(0.2 * requests + 130);
            assertThat(retries).isPositive();
        }

        /** A used-up budget must recover. */
        @Test
        void refillsAfterTheWindow() {
            SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.create(0, 10, 10 * SECOND);
            int first = 0;
            while (budget.tryAcquire(1, 0)) {
                first++;
            }
            assertThat(first).isBetween(1, 10);
            assertThat(budget.tryAcquire(1, 5 * SECOND)).isFalse();
            assertThat(budget.tryAcquire(1, 11 * SECOND)).isTrue();
        }
    }
}
