package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GossipMembershipTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Map<String, String> REGIONS = Map.of("z1", "r1", "z2", "r1", "z3", "r2");

    private static HostState host(String name, String zone, long started, long beats) {
        return host(name, zone, started, beats, 60);
    }

    private static HostState host(
            String name, String zone, long started, long beats, double capacity) {
        return new HostState(
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

    private static HostState withoutStore(HostState host) {
        return new HostState(
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
    class Membership {
        private final GossipMembership mMembership = GossipMembership.create("self");

        /** Clients must not be directed to a host that failed seconds ago. */
        @Test
        void hostWithStalledHeartbeatIsNotAlive() {
            mMembership.updateSelf(host("self", "z1", 1, 1), 0);
            mMembership.merge(List.of(host("h", "z1", 1, 5)), 0);
            assertThat(mMembership.alive(SECOND)).hasSize(2);
            mMembership.merge(List.of(host("h", "z1", 1, 5)), 2 * SECOND);
            assertThat(mMembership.alive(4 * SECOND)).hasSize(1);
        }

        /** A restart resets the heartbeat counter, so the start time must take precedence. */
        @Test
        void stateOfLaterStartWins() {
            mMembership.merge(List.of(host("h", "z1", 2, 1)), 0);
            mMembership.merge(List.of(host("h", "z1", 1, 900)), 0);
            assertThat(mMembership.alive(0).get(0).startedMillis()).isEqualTo(2);
        }

        /** A host considered failed may still send, so budget shares must not grow yet. */
        @Test
        void silentHostStillSharesBudgets() {
            mMembership.updateSelf(host("self", "z1", 1, 1), 0);
            mMembership.merge(List.of(host("h", "z1", 1, 5)), 0);
            assertThat(mMembership.budgetSharers(10 * SECOND)).isEqualTo(2);
        }

        /** An answer must not repeat states that the other host has just sent. */
        @Test
        void exchangeReturnsOnlyNewerStates() {
            mMembership.updateSelf(host("self", "z1", 1, 7), 0);
            mMembership.merge(List.of(host("a", "z1", 1, 5), host("b", "z1", 1, 5)), 0);
            mMembership.merge(List.of(host("c", "z1", 2, 1), host("d", "z1", 1, 1)), 0);
            List<HostState> sent =
                    List.of(
                            host("a", "z1", 1, 5),
                            host("b", "z1", 1, 4),
                            host("c", "z1", 1, 900),
                            host("e", "z1", 1, 1));
            assertThat(mMembership.recentStatesNewerThan(sent, 0))
                    .extracting(HostState::name)
                    .containsExactlyInAnyOrder("self", "b", "c", "d");
        }

        /** A registration in the store does not show that the host is alive. */
        @Test
        void registeredHostIsNotAliveBeforeItsFirstHeartbeat() {
            mMembership.addRegistered(host("h", "z1", 1, 1));
            assertThat(mMembership.alive(0)).isEmpty();
            assertThat(mMembership.selectGossipPeer(null, 0, new java.util.Random(1)).name())
                    .isEqualTo("h");
        }
    }

    @Nested
    class LookupHosts {
        /** Clients must not be directed to distant hosts while hosts in their zone serve. */
        @Test
        void prefersZoneThenRegionThenAll() {
            List<HostState> hosts =
                    List.of(host("a", "z1", 1, 1), host("b", "z2", 1, 1), host("c", "z3", 1, 1));
            assertThat(LookupHostSelector.selectAddresses(hosts, "z1", "r1", REGIONS))
                    .containsExactly("a:2");
            assertThat(LookupHostSelector.selectAddresses(hosts.subList(1, 3), "z1", "r1", REGIONS))
                    .containsExactly("b:2");
            assertThat(LookupHostSelector.selectAddresses(hosts.subList(2, 3), "z1", "r1", REGIONS))
                    .containsExactly("c:2");
        }

        /** With too few hosts, the demand of a zone's clients would overload them. */
        @Test
        void hostCountGrowsWithDemand() {
            List<HostState> hosts = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                hosts.add(host("h" + i, "z1", 1, 1));
            }
            assertThat(LookupHostSelector.selectAddresses(hosts, "z1", "r1", REGIONS)).hasSize(2);
            for (int i = 4; i < 10; i++) {
                hosts.add(host("h" + i, "z1", 1, 1));
            }
            assertThat(LookupHostSelector.selectAddresses(hosts, "z1", "r1", REGIONS)).hasSize(5);
        }

        /** Small hosts must not be overloaded while large hosts are idle. */
        @Test
        void prefersLargestHosts() {
            List<HostState> hosts = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                hosts.add(host("small" + i, "z1", 1, 1, 30));
            }
            hosts.add(host("large0", "z1", 1, 1, 200));
            hosts.add(host("large1", "z1", 1, 1, 200));
            assertThat(LookupHostSelector.selectAddresses(hosts, "z1", "r1", REGIONS))
                    .containsExactlyInAnyOrder("large0:2", "large1:2");
        }

        /** Clients spread evenly, so the smallest returned host limits the total capacity. */
        @Test
        void addsSmallHostsWhenLargeHostsCannotCarryDemand() {
            List<HostState> hosts = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                hosts.add(host("small" + i, "z1", 1, 1, 50));
            }
            hosts.add(host("large", "z1", 1, 1, 200));
            assertThat(LookupHostSelector.selectAddresses(hosts, "z1", "r1", REGIONS)).hasSize(6);
        }

        /** A look-up without any known host must return an empty answer rather than fail. */
        @Test
        void returnsNoAddressesWithoutServingHosts() {
            assertThat(LookupHostSelector.selectAddresses(List.of(), "z1", "r1", REGIONS))
                    .isEmpty();
        }

        /** A demand above the capacity of all hosts must still return hosts. */
        @Test
        void returnsHostsUnderOverload() {
            List<HostState> hosts = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                hosts.add(host("small" + i, "z1", 1, 1, 10));
            }
            hosts.add(host("large", "z1", 1, 1, 20));
            assertThat(LookupHostSelector.selectAddresses(hosts, "z1", "r1", REGIONS)).hasSize(10);
        }
    }

    @Nested
    class StoreReaders {
        private final List<HostState> mHosts =
                List.of(
                        host("a", "z1", 1, 1),
                        host("b", "z1", 1, 1),
                        host("c", "z2", 1, 1),
                        host("d", "z2", 1, 1),
                        host("e", "z3", 1, 1));

        private List<HostState> readers(List<HostState> hosts) {
            return hosts.stream()
                    .filter(h -> StoreReaderSelector.isReader(h.name(), hosts, REGIONS))
                    .toList();
        }

        /** The loss of one zone must not remove all readers of a region. */
        @Test
        void spreadsReadersAcrossZones() {
            assertThat(readers(mHosts)).extracting(HostState::zone).contains("z1", "z2", "z3");
            assertThat(readers(mHosts)).hasSize(3);
        }

        /** A region whose readers cannot reach the store would receive no changes. */
        @Test
        void skipsHostsThatCannotReachTheStore() {
            List<HostState> hosts = new ArrayList<>(mHosts);
            for (HostState reader : readers(mHosts)) {
                hosts.set(hosts.indexOf(reader), withoutStore(reader));
            }
            long reachable = readers(hosts).stream().filter(HostState::storeReachable).count();
            assertThat(reachable).isEqualTo(2);
        }

        /** If no host polled during an outage, the store's recovery would go unnoticed. */
        @Test
        void allHostsPollWhileNoneReachesTheStore() {
            List<HostState> hosts =
                    mHosts.stream().map(GossipMembershipTest::withoutStore).toList();
            assertThat(readers(hosts)).hasSize(5);
        }
    }
}
