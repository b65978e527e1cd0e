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
        assertThat(mBackends.mayReceive(mChosen, 0)).isTrue();
    }

    /** A request waits between the choice of its server and its sending. */
    @Nested
    class ChosenServers {
        @Test
        void mayNotReceiveRequestsWhileTheyDrain() {
            update(server("s:80", true, 1));
            assertThat(mBackends.mayReceive(mChosen, 0)).isFalse();
        }

        @Test
        void mayNotReceiveRequestsAfterTheirRemoval() {
            update();
            assertThat(mBackends.mayReceive(mChosen, 0)).isFalse();
        }

        @Test
        void mayNotReceiveRequestsWhileTheirZoneIsEvacuated() {
            mBackends.updateEvacuatedZones(Set.of("z1"), 0);
            assertThat(mBackends.mayReceive(mChosen, 0)).isFalse();
            mBackends.updateEvacuatedZones(Set.of("z2"), 0);
            assertThat(mBackends.mayReceive(mChosen, 0)).isTrue();
        }

        /** Another process may listen at the address by now. */
        @Test
        void mayNotReceiveRequestsAfterARestart() {
            update(server("s:80", false, 2));
            assertThat(mBackends.mayReceive(mChosen, 0)).isFalse();
        }

        @Test
        void mayNotReceiveRequestsAtTheirFormerAddress() {
            update(server("t:80", false, 1));
            assertThat(mBackends.mayReceive(mChosen, 0)).isFalse();
        }

        /** The server would get the requests that were placed before its answer was read. */
        @Test
        void mayNotReceiveRequestsAfterTheySaidThatTheyLeave() {
            ServerLeavingTable leavings = ServerLeavingTable.create("h");
            leavings.recordLeaving(mChosen.registration(), 0);
            mBackends.applyLeavings(leavings);
            assertThat(mBackends.mayReceive(mChosen, 0)).isFalse();
            assertThat(mBackends.usable("a")).isEmpty();
            update(server("s:80", false, 2));
            mBackends.applyLeavings(leavings);
            assertThat(mBackends.usable("a")).hasSize(1);
        }

        @Test
        void mayNotReceiveRequestsWhileTheyWantNone() {
            mChosen.holdOffUntil(2_000);
            mChosen.holdOffUntil(1_000);
            assertThat(mBackends.mayReceive(mChosen, 1_999)).isFalse();
            assertThat(mChosen.usable(1_999)).isFalse();
            assertThat(mBackends.mayReceive(mChosen, 2_000)).isTrue();
        }
    }
}
