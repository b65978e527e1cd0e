package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FeederChoiceTest {
    private static HostEntry host(String name, boolean serving, double rate) {
        return new HostEntry(
                name, 1, 1, "z1", name + ":1", name + ":2", serving, true, 60, Map.of("a", rate));
    }

    private static List<HostEntry> hosts(int busy, int idle) {
        List<HostEntry> hosts = new ArrayList<>();
        for (int i = 0; i < busy; i++) {
            hosts.add(host("busy" + i, true, 20));
        }
        for (int i = 0; i < idle; i++) {
            hosts.add(host("idle" + i, true, 0));
        }
        return hosts;
    }

    private static List<String> feeders(List<HostEntry> hosts, String server) {
        return hosts.stream()
                .map(HostEntry::name)
                .filter(
                        name -> {
                            FeederChoice selector = FeederChoice.create(name);
                            selector.hosts(hosts);
                            return selector.feeds(server);
                        })
                .toList();
    }

    @Nested
    class Hosts {
        /** If hosts selected different senders, they would together exceed a cold server's rate. */
        @Test
        void choosesTheSameFewOnAllHosts() {
            for (int i = 0; i < 20; i++) {
                assertThat(feeders(hosts(140, 0), "s" + i)).hasSize(Placer.COLD_FEEDERS);
            }
        }

        /** With senders that have no client traffic, a cold server would receive no requests. */
        @Test
        void choosesHostsThatClientsUse() {
            for (int i = 0; i < 20; i++) {
                assertThat(feeders(hosts(6, 90), "s" + i))
                        .hasSize(Placer.COLD_FEEDERS)
                        .allMatch(name -> name.startsWith("busy"));
            }
        }

        /** Before any demand is known, cold servers would otherwise receive no requests. */
        @Test
        void choosesAmongAllWhileNoHostIsUsed() {
            assertThat(feeders(hosts(0, 9), "s")).hasSize(Placer.COLD_FEEDERS);
            assertThat(feeders(List.of(host("stops", false, 9), host("a", true, 0)), "s"))
                    .containsExactly("a");
        }

        /** With a stale cache, all senders of a cold server might be hosts that have left. */
        @Test
        void choosesAnewWhenAHostLeaves() {
            FeederChoice selector = FeederChoice.create("busy0");
            selector.hosts(hosts(10, 0));
            for (int i = 0; i < 20; i++) {
                selector.feeds("s" + i);
            }
            selector.hosts(hosts(1, 0));
            for (int i = 0; i < 20; i++) {
                assertThat(selector.feeds("s" + i)).isTrue();
            }
        }
    }
}
