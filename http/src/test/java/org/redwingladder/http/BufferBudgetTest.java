package org.redwingladder.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BufferBudgetTest {
    private final BufferBudget mBudget = BufferBudget.ofBytes(100);

    @Nested
    class Reservations {
        @Test
        void togetherStayWithinTheLimit() {
            BufferBudget.Reservation first = mBudget.open();
            BufferBudget.Reservation second = mBudget.open();
            assertThat(first.tryGrowTo(60)).isTrue();
            assertThat(second.tryGrowTo(60)).isFalse();
            assertThat(second.tryGrowTo(40)).isTrue();
            assertThat(first.tryGrowTo(61)).isFalse();
            assertThat(mBudget.reservedBytes()).isEqualTo(100);
        }

        @Test
        void areReturnedOnce() {
            BufferBudget.Reservation first = mBudget.open();
            BufferBudget.Reservation second = mBudget.open();
            assertThat(first.tryGrowTo(60)).isTrue();
            assertThat(second.tryGrowTo(40)).isTrue();
            first.release();
            first.release();
            assertThat(mBudget.reservedBytes()).isEqualTo(40);
            assertThat(first.tryGrowTo(1)).isFalse();
        }
    }
}
