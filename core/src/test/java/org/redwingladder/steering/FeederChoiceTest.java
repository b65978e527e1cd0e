package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FeederChoiceTest {
    private static List<String> hosts(int count) {
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add("h" + i);
        }
        return hosts;
    }

    private static long feeders(List<String> hosts, String server) {
        return hosts.stream()
                .filter(
                        host -> {
                            FeederChoice choice = FeederChoice.create(host);
                            choice.hosts(hosts);
                            return choice.feeds(server);
                        })
                .count();
    }

    @Nested
    class Count {
        /** Guards against hosts that together exceed a cold server's rate. */
        @Test
        void choosesTheSameFewOnAllHosts() {
            for (int i = 0; i < 20; i++) {
                assertThat(feeders(hosts(140), "s" + i)).isEqualTo(Placer.COLD_FEEDERS);
            }
        }

        /** Guards against a cold server that nobody feeds because its feeders are gone. */
        @Test
        void choosesAnewWhenAHostLeaves() {
            List<String> hosts = hosts(10);
            FeederChoice last = FeederChoice.create("h0");
            last.hosts(hosts);
            for (int i = 0; i < 20; i++) {
                last.feeds("s" + i);
            }
            last.hosts(List.of("h0"));
            for (int i = 0; i < 20; i++) {
                assertThat(last.feeds("s" + i)).isTrue();
            }
        }
    }
}
