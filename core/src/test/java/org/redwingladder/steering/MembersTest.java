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

        /** Guards against naming a host to clients that has been dead for seconds. */
        @Test
        void dropsAHostWhoseCountStandsStill() {
            mTable.self(host("self", "z1", 1, 1), 0);
            mTable.merge(List.of(host("h", "z1", 1, 5)), 0);
            assertThat(mTable.alive(SECOND)).hasSize(2);
            mTable.merge(List.of(host("h", "z1", 1, 5)), 2 * SECOND);
            assertThat(mTable.alive(4 * SECOND)).hasSize(1);
        }

        /** Guards against old news that outlive a restart. */
        @Test
        void prefersTheLaterStart() {
            mTable.merge(List.of(host("h", "z1", 2, 1)), 0);
            mTable.merge(List.of(host("h", "z1", 1, 900)), 0);
            assertThat(mTable.alive(0).get(0).startedMillis()).isEqualTo(2);
        }

        /** Guards against budgets that grow while it is unsure how many hosts share them. */
        @Test
        void countsSilentHostsAsSharersForAWhile() {
            mTable.self(host("self", "z1", 1, 1), 0);
            mTable.merge(List.of(host("h", "z1", 1, 5)), 0);
            assertThat(mTable.sharers(10 * SECOND)).isEqualTo(2);
        }

        /** Guards against answers that repeat what the other host has just told. */
        @Test
        void passesOnOnlyWhatTheOtherDoesNotKnow() {
            mTable.self(host("self", "z1", 1, 7), 0);
            mTable.merge(List.of(host("a", "z1", 1, 5), host("b", "z1", 1, 5)), 0);
            mTable.merge(List.of(host("c", "z1", 2, 1), host("d", "z1", 1, 1)), 0);
            List<HostEntry> told =
                    List.of(
                            host("a", "z1", 1, 5),
                            host("b", "z1", 1, 4),
                            host("c", "z1", 1, 900),
                            host("e", "z1", 1, 1));
            assertThat(mTable.entriesBeyond(told, 0))
                    .extracting(HostEntry::name)
                    .containsExactlyInAnyOrder("self", "b", "c", "d");
        }

        /** Guards against taking a registration for a sign of life. */
        @Test
        void countsARegisteredHostOnlyOnceItIsHeard() {
            mTable.registered(host("h", "z1", 1, 1));
            assertThat(mTable.alive(0)).isEmpty();
            assertThat(mTable.partner(null, 0, new java.util.Random(1)).name()).isEqualTo("h");
        }
    }

    @Nested
    class Lookup {
        /** Guards against sending clients far away while hosts of their zone serve. */
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

        /** Guards against all clients of a zone on a host that the demand would overload. */
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

        /** Guards against a zone's clients on small hosts while large ones idle. */
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

        /** Guards against a small host that gets as many clients as a large one beside it. */
        @Test
        void bringsInEnoughSmallHostsOnceALargeOneIsLost() {
            List<HostEntry> hosts = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                hosts.add(host("small" + i, "z1", 1, 1, 50));
            }
            hosts.add(host("large", "z1", 1, 1, 200));
            assertThat(LookupChoice.addresses(hosts, "z1", "r1", REGIONS)).hasSize(6);
        }

        /** Guards against an error instead of an answer while no host is known. */
        @Test
        void namesNobodyWhileNobodyServes() {
            assertThat(LookupChoice.addresses(List.of(), "z1", "r1", REGIONS)).isEmpty();
        }

        /** Guards against naming nobody when the demand exceeds all hosts together. */
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

        /** Guards against a region whose readers are lost with one zone. */
        @Test
        void spreadsTwoReadersOverTheZonesOfARegion() {
            assertThat(readers(mHosts)).extracting(HostEntry::zone).contains("z1", "z2", "z3");
            assertThat(readers(mHosts)).hasSize(3);
        }

        /** Guards against a region that learns nothing because its readers are turned away. */
        @Test
        void passesOverHostsThatTheStoreTurnsAway() {
            List<HostEntry> hosts = new ArrayList<>(mHosts);
            for (HostEntry reader : readers(mHosts)) {
                hosts.set(hosts.indexOf(reader), unreachable(reader));
            }
            long reachable = readers(hosts).stream().filter(HostEntry::storeReachable).count();
            assertThat(reachable).isEqualTo(2);
        }

        /** Guards against a fleet that stops asking while nobody reaches the store. */
        @Test
        void letsAllTryWhileNobodyReachesTheStore() {
            List<HostEntry> hosts = mHosts.stream().map(MembersTest::unreachable).toList();
            assertThat(readers(hosts)).hasSize(5);
        }
    }
}
