package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WarmUpSenderSelectorTest {
    private static HostState host(String name, boolean serving, double rate) {
        return new HostState(
                name, 1, 1, "z1", name + ":1", name + ":2", serving, true, 60, Map.of("a", rate));
    }

    private static List<HostState> hosts(int busy, int idle) {
        List<HostState> hosts = new ArrayList<>();
        for (int i = 0; i < busy; i++) {
            hosts.add(host("busy" + i, true, 20));
        }
        for (int i = 0; i < idle; i++) {
            hosts.add(host("idle" + i, true, 0));
        }
        return hosts;
    }

    private static List<String> senders(List<HostState> hosts, String server) {
        return hosts.stream()
                .map(HostState::name)
                .filter(
                        name -> {
                            WarmUpSenderSelector selector = WarmUpSenderSelector.create(name);
                            selector.updateHosts(hosts);
                            return selector.sendsTo(server);
                        })
                .toList();
    }

    @Nested
    class Hosts {
        /** If hosts selected different senders, they would together exceed a cold server's rate. */
        @Test
        void allHostsSelectTheSameSenders() {
            for (int i = 0; i < 20; i++) {
                assertThat(senders(hosts(140, 0), "s" + i)).hasSize(LoadBalancer.WARM_UP_SENDERS);
            }
        }

        /** With senders that have no client traffic, a cold server would receive no requests. */
        @Test
        void prefersHostsWithClientTraffic() {
            for (int i = 0; i < 20; i++) {
                assertThat(senders(hosts(6, 90), "s" + i))
                        .hasSize(LoadBalancer.WARM_UP_SENDERS)
                        .allMatch(name -> name.startsWith("busy"));
            }
        }

        /** Before any demand is known, cold servers would otherwise receive no requests. */
        @Test
        void fallsBackToIdleServingHostsWithoutClientTraffic() {
            assertThat(senders(hosts(0, 9), "s")).hasSize(LoadBalancer.WARM_UP_SENDERS);
            assertThat(senders(List.of(host("stops", false, 9), host("a", true, 0)), "s"))
                    .containsExactly("a");
        }

        /** With a stale cache, all senders of a cold server might be hosts that have left. */
        @Test
        void reselectsSendersAfterAHostLeaves() {
            WarmUpSenderSelector selector = WarmUpSenderSelector.create("busy0");
            selector.updateHosts(hosts(10, 0));
            for (int i = 0; i < 20; i++) {
                selector.sendsTo("s" + i);
            }
            selector.updateHosts(hosts(1, 0));
            for (int i = 0; i < 20; i++) {
                assertThat(selector.sendsTo("s" + i)).isTrue();
            }
        }
    }
}
