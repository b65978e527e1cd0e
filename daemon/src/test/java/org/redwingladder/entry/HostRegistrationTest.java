package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HostRegistrationTest {
    /** The platform's limit on the writes of all hosts together. */
    private static final int WRITES_PER_SECOND = 400;

    @Nested
    class AfterARestore {
        /** The store refuses writes beyond the limit, which all hosts would then repeat. */
        @ParameterizedTest
        @CsvSource({"1,1000", "140,1400", "7500,75000"})
        void writesOfAllHostsStayBelowTheLimit(int hosts, long spanMillis) {
            assertThat(HostRegistration.repeatSpanMillis(hosts)).isEqualTo(spanMillis);
            assertThat(hosts * 1_000L / spanMillis).isLessThan(WRITES_PER_SECOND / 2);
        }
    }
}
