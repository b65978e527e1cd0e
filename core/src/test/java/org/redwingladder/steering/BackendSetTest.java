package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BackendSetTest {
    private final BackendSet mBackends = BackendSet.create(Map.of("z1", "r1", "z2", "r1"));
    private Backend mChosen;

    private static ServerRegistration server(String address, boolean draining, long started) {
        return new ServerRegistration("s", "a", address, "z1", 4, draining, started, 0);
    }

    private void update(ServerRegistration... servers) {
        mBackends.updateServers(List.of(servers), 0);
    }

    @BeforeEach
    void choose() {
        update(server("s:80", false, 1));
        mChosen = mBackends.usable("a").get(0);
        assertThat(mBackends.mayReceive(mChosen)).isTrue();
    }

    /** A request waits between the choice of its server and its sending. */
    @Nested
    class ChosenServers {
        @Test
        void mayNotReceiveRequestsWhileTheyDrain() {
            update(server("s:80", true, 1));
            assertThat(mBackends.mayReceive(mChosen)).isFalse();
        }

        @Test
        void mayNotReceiveRequestsAfterTheirRemoval() {
            update();
            assertThat(mBackends.mayReceive(mChosen)).isFalse();
        }

        @Test
        void mayNotReceiveRequestsWhileTheirZoneIsEvacuated() {
            mBackends.updateEvacuatedZones(Set.of("z1"), 0);
            assertThat(mBackends.mayReceive(mChosen)).isFalse();
            mBackends.updateEvacuatedZones(Set.of("z2"), 0);
            assertThat(mBackends.mayReceive(mChosen)).isTrue();
        }

        /** Another process may listen at the address by now. */
        @Test
        void mayNotReceiveRequestsAfterARestart() {
            update(server("s:80", false, 2));
            assertThat(mBackends.mayReceive(mChosen)).isFalse();
        }

        @Test
        void mayNotReceiveRequestsAtTheirFormerAddress() {
            update(server("t:80", false, 1));
            assertThat(mBackends.mayReceive(mChosen)).isFalse();
        }
    }
}
