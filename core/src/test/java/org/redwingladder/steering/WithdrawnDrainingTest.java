package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WithdrawnDrainingTest {
    private final RestoredStateGuard mGuard = RestoredStateGuard.create();

    private boolean draining(boolean row, long version) {
        ServerRegistration entry =
                new ServerRegistration("s1", "a", "10.0.0.1:80", "z", 4, row, 5, 0);
        return mGuard.servers(Map.of("s1", entry), Map.of("s1", version), 0).get("s1").draining();
    }

    @Nested
    class ServerThatStoppedDraining {
        /** A restore that loses nothing of a server must not end its use for good. */
        @Test
        void isUsedAfterALaterRestore() {
            assertThat(draining(true, 20)).isTrue();
            assertThat(draining(false, 21)).isFalse();
            mGuard.serversRestored(Map.of("s1", 21L), 0);
            assertThat(draining(false, 21)).isFalse();
        }
    }
}
