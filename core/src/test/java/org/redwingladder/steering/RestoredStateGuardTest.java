package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RestoredStateGuardTest {
    private static final long SECOND = 1_000_000_000L;

    private final RestoredStateGuard mGuard = RestoredStateGuard.create();

    private static ServerRegistration server(boolean draining, long started, long coldUntil) {
        return new ServerRegistration(
                "s1", "a", "10.0.0.1:80", "z", 4, draining, started, coldUntil);
    }

    private Map<String, ServerRegistration> show(ServerRegistration entry, long version, long now) {
        return mGuard.servers(Map.of("s1", entry), Map.of("s1", version), now);
    }

    private Map<String, ServerRegistration> restore(ServerRegistration entry, long version) {
        mGuard.serversRestored(Map.of("s1", version), 0);
        return show(entry, version, 0);
    }

    @Nested
    class DrainingServers {
        @Test
        void keepDrainingAsTheSameIncarnation() {
            show(server(true, 5, 0), 20, 0);
            assertThat(restore(server(false, 5, 0), 12).get("s1").draining()).isTrue();
            assertThat(show(server(false, 5, 0), 13, 60 * SECOND).get("s1").draining()).isTrue();
        }

        @Test
        void areUsedAsANewIncarnation() {
            show(server(true, 5, 0), 20, 0);
            restore(server(false, 5, 0), 12);
            assertThat(show(server(false, 6, 0), 13, 1).get("s1").draining()).isFalse();
        }

        @Test
        void withoutAStartTimeKeepDrainingUntilTheirRowIsWrittenAgain() {
            show(server(true, 0, 0), 20, 0);
            assertThat(restore(server(false, 0, 0), 12).get("s1").draining()).isTrue();
            assertThat(show(server(false, 0, 0), 13, 1).get("s1").draining()).isFalse();
        }

        /** A store that does not return from a copy is believed as before. */
        @Test
        void areBelievedWithoutARestore() {
            show(server(true, 5, 0), 20, 0);
            assertThat(show(server(false, 5, 0), 21, 0).get("s1").draining()).isFalse();
        }
    }

    @Nested
    class ServersThatHadLeft {
        private void leave() {
            show(server(false, 5, 0), 20, 0);
            mGuard.servers(Map.of(), Map.of(), 0);
        }

        @Test
        void areNotUsedForTheRowOfTheCopy() {
            leave();
            assertThat(restore(server(false, 5, 0), 20)).isEmpty();
            assertThat(show(server(false, 5, 0), 20, 9 * SECOND)).isEmpty();
            assertThat(mGuard.suspended()).containsExactly("s1");
        }

        @Test
        void areUsedAfterTheyHaveShownThemselves() {
            leave();
            restore(server(false, 5, 0), 20);
            assertThat(show(server(false, 5, 0), 21, 1)).containsOnlyKeys("s1");
        }

        /** A running server need not change its row, while the row of one that left is removed. */
        @Test
        void areUsedIfTheirRowLasts() {
            leave();
            restore(server(false, 5, 0), 20);
            assertThat(show(server(false, 5, 0), 20, 10 * SECOND)).containsOnlyKeys("s1");
        }

        @Test
        void areNotUsedAfterASecondRestore() {
            leave();
            restore(server(false, 5, 0), 20);
            assertThat(restore(server(false, 5, 0), 19)).isEmpty();
        }
    }

    @Nested
    class ColdServers {
        @Test
        void doNotWarmUpSooner() {
            show(server(false, 5, 9 * SECOND), 20, 0);
            assertThat(restore(server(false, 5, SECOND), 12).get("s1").coldUntilNanos())
                    .isEqualTo(9 * SECOND);
            assertThat(show(server(false, 5, 2 * SECOND), 13, 1).get("s1").coldUntilNanos())
                    .isEqualTo(2 * SECOND);
        }
    }

    @Nested
    class EvacuatedZones {
        @Test
        void stayEvacuatedForAWhileWithoutTheirRow() {
            mGuard.evacuatedZones(Set.of("z1"), 0);
            mGuard.controlRestored(0);
            assertThat(mGuard.evacuatedZones(Set.of(), 9 * SECOND)).containsExactly("z1");
            assertThat(mGuard.evacuatedZones(Set.of(), 10 * SECOND)).isEmpty();
        }

        @Test
        void returnWhenTheRowThatCameBackIsRemoved() {
            mGuard.evacuatedZones(Set.of("z1"), 0);
            mGuard.controlRestored(0);
            mGuard.evacuatedZones(Set.of(), 0);
            mGuard.evacuatedZones(Set.of("z1"), SECOND);
            assertThat(mGuard.evacuatedZones(Set.of(), 2 * SECOND)).isEmpty();
        }

        @Test
        void areAddedByTheCopy() {
            mGuard.evacuatedZones(Set.of("z1"), 0);
            mGuard.controlRestored(0);
            assertThat(mGuard.evacuatedZones(Set.of("z2"), 0)).containsOnly("z1", "z2");
        }
    }
}
