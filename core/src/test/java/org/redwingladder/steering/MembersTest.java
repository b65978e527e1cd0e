package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembersTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Map<String, String> REGIONS = Map.of("z1", "r1", "z2", "r1", "z3", "r2");

    private static HostEntry host(String name, String zone, long started, long beats) {
        return host(name, zone, started, beats, 60);
    }

    private static HostEntry host(
            String name, String zone, long started, long beats, double capacity) {
        return new HostEntry(
                name,
                started,
                beats,
                zone,
                name + ":1",
                name + ":2",
                true,
                true,
                capacity,
                Map.of("a", 30.0));
    }

    private static HostEntry unreachable(HostEntry host) {
        return new HostEntry(
                host.name(),
                host.startedMillis(),
                host.beats(),
                host.zone(),
                host.peerAddress(),
                host.clientAddress(),
                host.serving(),
                false,
                host.capacity(),
                host.demand());
    }

    @Nested
    class Table {
        private final MemberTable mTable = MemberTable.create("self");

        /** Clients must not be directed to a host that failed seconds ago. */
        @Test
        void dropsAHostWhoseCountStandsStill() {
            mTable.self(host("self", "z1", 1, 1), 0);
            mTable.merge(List.of(host("h", "z1", 1, 5)), 0);
            assertThat(mTable.alive(SECOND)).hasSize(2);
            mTable.merge(List.of(host("h", "z1", 1, 5)), 2 * SECOND);
            assertThat(mTable.alive(4 * SECOND)).hasSize(1);
        }

        /** A restart resets the heartbeat counter, so the start time must take precedence. */
        @Test
        void prefersTheLaterStart() {
            mTable.merge(List.of(host("h", "z1", 2, 1)), 0);
            mTable.merge(List.of(host("h", "z1", 1, 900)), 0);
            assertThat(mTable.alive(0).get(0).startedMillis()).isEqualTo(2);
        }

        /** A host considered failed may still send, so budget shares must not grow yet. */
        @Test
        void countsSilentHostsAsSharersForAWhile() {
            mTable.self(host("self", "z1", 1, 1), 0);
            mTable.merge(List.of(host("h", "z1", 1, 5)), 0);
            assertThat(mTable.sharers(10 * SECOND)).isEqualTo(2);
        }

        /** An answer must not repeat states that the other host has just sent. */
        @Test
        void passesOnOnlyWhatTheOtherDoesNotKnow() {
            mTable.self(host("self", "z1", 1, 7), 0);
            mTable.merge(List.of(host("a", "z1", 1, 5), host("b", "z1", 1, 5)), 0);
            mTable.merge(List.of(host("c", "z1", 2, 1), host("d", "z1", 1, 1)), 0);
            List<HostEntry> sent =
                    List.of(
                            host("a", "z1", 1, 5),
                            host("b", "z1", 1, 4),
                            host("c", "z1", 1, 900),
                            host("e", "z1", 1, 1));
            assertThat(mTable.entriesBeyond(sent, 0))
                    .extracting(HostEntry::name)
                    .containsExactlyInAnyOrder("self", "b", "c", "d");
        }

        /** A registration in the store does not show that the host is alive. */
        @Test
        void countsARegisteredHostOnlyOnceItIsHeard() {
            mTable.registered(host("h", "z1", 1, 1));
            assertThat(mTable.alive(0)).isEmpty();
            assertThat(mTable.partner(null, 0, new java.util.Random(1)).name()).isEqualTo("h");
        }
    }

    @Nested
    class Lookup {
        /** Clients must not be directed to distant hosts while hosts in their zone serve. */
        @Test
        void namesTheZoneThenTheRegionThenAll() {
            List<HostEntry> hosts =
                    List.of(host("a", "z1", 1, 1), host("b", "z2", 1, 1), host("c", "z3", 1, 1));
            assertThat(LookupChoice.addresses(hosts, "z1", "r1", REGIONS)).containsExactly("a:2");
            assertThat(LookupChoice.addresses(hosts.subList(1, 3), "z1", "r1", REGIONS))
                    .containsExactly("b:2");
            assertThat(LookupChoice.addresses(hosts.subList(2, 3), "z1", "r1", REGIONS))
                    .containsExactly("c:2");
        }

        /** With too few hosts, the demand of a zone's clients would overload them. */
        @Test
        void namesMoreHostsWithMoreDemand() {
            List<HostEntry> hosts = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                hosts.add(host("h" + i, "z1", 1, 1));
            }
            assertThat(LookupChoice.addresses(hosts, "z1", "r1", REGIONS)).hasSize(2);
            for (int i = 4; i < 10; i++) {
                hosts.add(host("h" + i, "z1", 1, 1));
            }
            assertThat(LookupChoice.addresses(hosts, "z1", "r1", REGIONS)).hasSize(5);
        }

        /** Small hosts must not be overloaded while large hosts are idle. */
        @Test
        void namesTheLargestHosts() {
            List<HostEntry> hosts = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                hosts.add(host("small" + i, "z1", 1, 1, 30));
            }
            hosts.add(host("large0", "z1", 1, 1, 200));
            hosts.add(host("large1", "z1", 1, 1, 200));
            assertThat(LookupChoice.addresses(hosts, "z1", "r1", REGIONS))
                    .containsExactlyInAnyOrder("large0:2", "large1:2");
        }

        /** Clients spread evenly, so the smallest returned host limits the total capacity. */
        @Test
        void bringsInEnoughSmallHostsOnceALargeOneIsLost() {
            List<HostEntry> hosts = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                hosts.add(host("small" + i, "z1", 1, 1, 50));
            }
            hosts.add(host("large", "z1", 1, 1, 200));
            assertThat(LookupChoice.addresses(hosts, "z1", "r1", REGIONS)).hasSize(6);
        }

        /** A look-up without any known host must return an empty answer rather than fail. */
        @Test
        void namesNobodyWhileNobodyServes() {
            assertThat(LookupChoice.addresses(List.of(), "z1", "r1", REGIONS)).isEmpty();
        }

        /** A demand above the capacity of all hosts must still return hosts. */
        @Test
        void namesAsManyAsHelpUnderOverload() {
            List<HostEntry> hosts = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                hosts.add(host("small" + i, "z1", 1, 1, 10));
            }
            hosts.add(host("large", "z1", 1, 1, 20));
            assertThat(LookupChoice.addresses(hosts, "z1", "r1", REGIONS)).hasSize(10);
        }
    }

    @Nested
    class Readers {
        private final List<HostEntry> mHosts =
                List.of(
                        host("a", "z1", 1, 1),
                        host("b", "z1", 1, 1),
                        host("c", "z2", 1, 1),
                        host("d", "z2", 1, 1),
                        host("e", "z3", 1, 1));

        private List<HostEntry> readers(List<HostEntry> hosts) {
            return hosts.stream()
                    .filter(h -> ReaderChoice.reads(h.name(), hosts, REGIONS))
                    .toList();
        }

        /** The loss of one zone must not remove all readers of a region. */
        @Test
        void spreadsTwoReadersOverTheZonesOfARegion() {
            assertThat(readers(mHosts)).extracting(HostEntry::zone).contains("z1", "z2", "z3");
            assertThat(readers(mHosts)).hasSize(3);
        }

        /** A region whose readers cannot reach the store would receive no changes. */
        @Test
        void passesOverHostsThatTheStoreTurnsAway() {
            List<HostEntry> hosts = new ArrayList<>(mHosts);
            for (HostEntry reader : readers(mHosts)) {
                hosts.set(hosts.indexOf(reader), unreachable(reader));
            }
            long reachable = readers(hosts).stream().filter(HostEntry::storeReachable).count();
            assertThat(reachable).isEqualTo(2);
        }

        /** If no host polled during an outage, the store's recovery would go unnoticed. */
        @Test
        void letsAllTryWhileNobodyReachesTheStore() {
            List<HostEntry> hosts = mHosts.stream().map(MembersTest::unreachable).toList();
            assertThat(readers(hosts)).hasSize(5);
        }
    }
}
