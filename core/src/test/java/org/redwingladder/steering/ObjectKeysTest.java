package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ObjectKeysTest {
    @Nested
    class Bounded {
        @Test
        void keepsAShortKey() {
            assertThat(ObjectKeys.bounded("17")).isEqualTo("17");
            assertThat(ObjectKeys.bounded(null)).isNull();
        }

        @Test
        void shortensALongKeyTheSameWayOnEachHost() {
            String key = "x".repeat(16_000);
            assertThat(ObjectKeys.bounded(key))
                    .hasSize(ObjectKeys.MAX_CHARACTERS)
                    .isEqualTo(ObjectKeys.bounded("x".repeat(16_000)))
                    .isNotEqualTo(ObjectKeys.bounded(key + 'x'));
        }
    }
}
