package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HealthCheckersTest {
    private static final Map<String, String> REGIONS = Map.of("z1", "r1", "z2", "r1", "z3", "r2");

    private final List<HostState> mAlive = new ArrayList<>();

    private void host(String name, String zone, boolean serving) {
        mAlive.add(new HostState(name, 1, 1, zone, name, name, serving, true, 1, Map.of()));
    }

    private List<String> checkersOf(String id) {
        ServerRegistration server =
                new ServerRegistration(id, "a", "10.0.0.1:80", "z1", 4, false, 1, 0);
        HealthCheckers checkers = HealthCheckers.among(mAlive, REGIONS);
        return mAlive.stream()
                .map(HostState::name)
                .filter(name -> checkers.isChecker(name, server))
                .toList();
    }

    @Nested
    class EachServer {
        /** Each host would otherwise ask each server, across zones and regions. */
        @Test
        void hasOneCheckerInItsZone() {
            host("a", "z1", true);
            host("b", "z1", true);
            host("c", "z2", true);
            host("d", "z3", true);
            for (int i = 0; i < 20; i++) {
                assertThat(checkersOf("i-" + i)).hasSize(1).isSubsetOf("a", "b");
            }
        }

        /** Nobody would otherwise ask the servers of a zone whose hosts are lost. */
        @Test
        void hasACheckerElsewhereIfItsZoneHasNoHost() {
            host("a", "z1", false);
            host("d", "z3", true);
            assertThat(checkersOf("i-1")).containsExactly("d");
            host("c", "z2", true);
            assertThat(checkersOf("i-1")).containsExactly("c");
        }
    }
}
