package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadBalancerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Map<String, String> REGIONS = Map.of("z1", "r1", "z2", "r2");
    private static final ServiceSpec SERVICE = new ServiceSpec("a", 100, 3000, 9);

    private final BackendSet mBackends = BackendSet.create(REGIONS);
    private final ServiceTimeEstimator mTimes = new ServiceTimeEstimator();
    private final LoadBalancer mBalancer =
            LoadBalancer.create("r1", mBackends, mTimes, (from, to) -> from.equals(to) ? 0 : 50);

    private static Route route(int priority, Set<String> homes) {
        return new Route(
                "r" + priority,
                "h",
                "/" + priority + "/",
                RequestKind.IDEMPOTENT,
                800,
                250,
                priority,
                List.of(new WeightedService("a", 1)),
                2,
                true,
                homes);
    }

    private static ServerRegistration server(String id, String zone, long coldUntil) {
        return new ServerRegistration(id, "a", id + ":80", zone, 4, false, 1, coldUntil);
    }

    private void registerServers(int inFirst, int inSecond) {
        List<ServerRegistration> entries = new ArrayList<>();
        for (int i = 0; i < inFirst; i++) {
            entries.add(server("s" + i, "z1", 0));
        }
        for (int i = 0; i < inSecond; i++) {
            entries.add(server("t" + i, "z2", 0));
        }
        mBackends.updateServices(Map.of("a", SERVICE));
        mBackends.updateServers(entries, 0);
        mBalancer.updateRoutes(List.of(route(1, Set.of()), route(2, Set.of())));
    }

    private BalancerDecision choose(
            Route route, @Nullable String key, Set<Backend> excluded, long now) {
        TriedServers tried = new TriedServers();
        excluded.forEach(server -> tried.add(server.registration()));
        return mBalancer.choose(
                new LoadBalancer.Request(route, "a", key, tried, now + 800_000_000L), now);
    }

    private Backend send(BalancerDecision placement, long now) {
        Backend server = ((BalancerDecision.Send) placement).server();
        server.recordSent(now);
        return server;
    }

    @Nested
    class Affinity {
        /** Spreading an object over several servers would cause a cache miss on each. */
        @Test
        void sendsAnObjectToOneServerWithFreeSlots() {
            registerServers(10, 0);
            for (int object = 0; object < 50; object++) {
                Set<Backend> seen = new HashSet<>();
                for (int i = 0; i < 3; i++) {
                    Backend server = send(choose(route(1, Set.of()), "o" + object, Set.of(), 0), 0);
                    server.recordEnd(SendResult.CANCELLED, 0, 1, 0);
                    seen.add(server);
                }
                assertThat(seen).hasSize(1);
            }
        }

        /** Remapping other objects would cause needless cache misses. */
        @Test
        void remapsOnlyObjectsOfARemovedServer() {
            registerServers(10, 0);
            Map<String, String> before = new HashMap<>();
            for (int i = 0; i < 100; i++) {
                before.put("o" + i, serverOf("o" + i));
            }
            registerServers(9, 0);
            before.forEach(
                    (object, server) -> {
                        if (!server.equals("s9")) {
                            assertThat(serverOf(object)).isEqualTo(server);
                        }
                    });
        }

        private String serverOf(String object) {
            BalancerDecision placement = choose(route(1, Set.of()), object, Set.of(), 0);
            return ((BalancerDecision.Send) placement).server().registration().id();
        }
    }

    @Nested
    class Overload {
        /** Without load shedding, requests wait in queues until their answers are useless. */
        @Test
        void shedsRequestsThatWouldMissTheirObjective() {
            registerServers(2, 0);
            int sent = 0;
            BalancerDecision placement = choose(route(1, Set.of()), "o", Set.of(), 0);
            while (placement instanceof BalancerDecision.Send && sent < 100) {
                send(placement, 0);
                sent++;
                placement = choose(route(1, Set.of()), "o", Set.of(), 0);
            }
            assertThat(placement).isInstanceOf(BalancerDecision.Refuse.class);
            assertThat(((BalancerDecision.Refuse) placement).reason())
                    .isEqualTo(BalancerDecision.Reason.OVERLOADED);
            assertThat(((BalancerDecision.Refuse) placement).retryAfterMillis())
                    .isBetween(100L, 2000L);
            assertThat(sent).isBetween(4, 20);
        }

        /** Lower-priority requests must not fill the queue and displace higher-priority ones. */
        @Test
        void shedsLowerPriorityFirst() {
            registerServers(1, 0);
            BalancerDecision urgent = choose(route(1, Set.of()), "o", Set.of(), 0);
            while (choose(route(2, Set.of()), "o", Set.of(), 0) instanceof BalancerDecision.Send) {
                send(urgent, 0);
            }
            assertThat(choose(route(1, Set.of()), "o", Set.of(), 0))
                    .isInstanceOf(BalancerDecision.Send.class);
        }
    }

    @Nested
    class AffinityWithoutBenefit {
        /** Requests must not be refused while other servers are free and caches do not matter. */
        @Test
        void balancesOverAllServersWhenCachesDoNotHelp() {
            registerServers(4, 0);
            for (int i = 0; i < 300; i++) {
                mTimes.recordWarm("a", 100, 250);
                mTimes.recordCold("a", 100, 250);
            }
            for (int i = 0; i < 16; i++) {
                send(choose(route(1, Set.of()), "o", Set.of(), 0), 0);
            }
            assertThat(mBackends.usable("a")).allMatch(server -> server.inFlight() >= 3);
        }
    }

    @Nested
    class Regions {
        /** Requests of a route with home regions must not leave these regions. */
        @Test
        void sendsOnlyToHomeRegions() {
            registerServers(0, 3);
            assertThat(choose(route(1, Set.of("r1")), "o", Set.of(), 0))
                    .isInstanceOf(BalancerDecision.Refuse.class);
            assertThat(choose(route(1, Set.of("r2")), "o", Set.of(), 0))
                    .isInstanceOf(BalancerDecision.Send.class);
        }

        /** Servers of an evacuated zone must receive no requests. */
        @Test
        void skipsEvacuatedZones() {
            registerServers(3, 3);
            mBackends.updateEvacuatedZones(Set.of("z1"), 0);
            Backend server =
                    ((BalancerDecision.Send) choose(route(1, Set.of()), "o", Set.of(), 0)).server();
            assertThat(server.registration().zone()).isEqualTo("z2");
        }

        /** A small region would be overloaded if it served all requests of its clients. */
        @Test
        void spillsOverInProportionToFreeCapacity() {
            registerServers(1, 9);
            mBalancer.updateRegionShares(Map.of("a", Map.of("r1", 100.0, "r2", 100.0)), 0);
            int local = 0;
            for (int i = 0; i < 1000; i++) {
                BalancerDecision placement = choose(route(1, Set.of()), "object-" + i, Set.of(), 0);
                if (((BalancerDecision.Send) placement)
                        .server()
                        .registration()
                        .zone()
                        .equals("z1")) {
                    local++;
                }
            }
            assertThat(local).isLessThan(400);
            assertThat(mBalancer.regionShares("a").get("r1")).isLessThan(0.4);
        }

        /** The first demand report must not move a surge of requests between regions. */
        @Test
        void shiftsSharesGraduallyAfterTheFirstRequest() {
            registerServers(1, 9);
            mBalancer.updateRegionShares(Map.of(), 0);
            double before = mBalancer.regionShares("a").get("r1");
            choose(route(1, Set.of()), "o", Set.of(), 0);
            mBalancer.updateRegionShares(Map.of("a", Map.of("r1", 1.0, "r2", 1.0)), 2 * SECOND);
            assertThat(mBalancer.regionShares("a").get("r1"))
                    .isCloseTo(before + 0.08, within(1e-9));
        }

        /** A restarted host would otherwise need half a minute to reach its target shares. */
        @Test
        void appliesTargetSharesImmediatelyBeforeTheFirstRequest() {
            registerServers(1, 9);
            mBalancer.updateRegionShares(Map.of(), 0);
            mBalancer.updateRegionShares(Map.of("a", Map.of("r1", 1.0, "r2", 1.0)), SECOND);
            assertThat(mBalancer.regionShares("a")).containsExactly(Map.entry("r1", 1.0));
        }
    }

    @Nested
    class ColdServers {
        /** A new server must not be overloaded while it is cold. */
        @Test
        void limitsRateToThisHostsShare() {
            mBackends.updateServices(Map.of("a", SERVICE));
            mBackends.updateServers(List.of(server("s0", "z1", 3 * SECOND)), 0);
            int sent = 0;
            for (long now = 0; now < SECOND; now += SECOND / 100) {
                BalancerDecision placement = choose(route(1, Set.of()), "o", Set.of(), now);
                if (placement instanceof BalancerDecision.Send) {
                    send(placement, now);
                    sent++;
                }
            }
            assertThat(sent).isBetween(1, 4);
        }

        /** If all hosts sent to the same cold server, they would exceed its warm-up rate. */
        @Test
        void receivesNothingFromHostsThatAreNotWarmUpSenders() {
            mBackends.updateServices(Map.of("a", SERVICE));
            mBackends.updateServers(List.of(server("s0", "z1", 3 * SECOND)), 0);
            mBalancer.rateShares((service, server, maxSenders) -> SenderShare.NONE);
            assertThat(choose(route(1, Set.of()), "o", Set.of(), 0))
                    .isInstanceOf(BalancerDecision.Refuse.class);
        }

        /** A zone must not receive its full load immediately after an evacuation. */
        @Test
        void warmsUpServersAfterEvacuation() {
            registerServers(1, 0);
            mBackends.updateEvacuatedZones(Set.of("z1"), 0);
            mBackends.updateEvacuatedZones(Set.of(), SECOND);
            assertThat(choose(route(1, Set.of()), "o", Set.of(), SECOND))
                    .isInstanceOf(BalancerDecision.Refuse.class);
            send(choose(route(1, Set.of()), "o", Set.of(), 3 * SECOND / 2), 3 * SECOND / 2);
            assertThat(choose(route(1, Set.of()), "o", Set.of(), 3 * SECOND / 2))
                    .isInstanceOf(BalancerDecision.Refuse.class);
            assertThat(choose(route(1, Set.of()), "o", Set.of(), 5 * SECOND))
                    .isInstanceOf(BalancerDecision.Send.class);
        }
    }

    @Nested
    class Failures {
        /** Without ejection, requests are sent repeatedly to a server that does not answer. */
        @Test
        void ejectsAnUnreachableServer() {
            registerServers(1, 0);
            Backend server = send(choose(route(1, Set.of()), "o", Set.of(), 0), 0);
            server.recordEnd(SendResult.UNREACHABLE, 0, 100, 0);
            assertThat(choose(route(1, Set.of()), "o", Set.of(), SECOND / 2))
                    .isInstanceOf(BalancerDecision.Refuse.class);
            assertThat(choose(route(1, Set.of()), "o", Set.of(), 2 * SECOND))
                    .isInstanceOf(BalancerDecision.Send.class);
        }

        /** A retry must not be sent to the server that has just failed. */
        @Test
        void excludesServersOfEarlierAttempts() {
            registerServers(2, 0);
            Backend first = send(choose(route(1, Set.of()), "o", Set.of(), 0), 0);
            Backend second =
                    ((BalancerDecision.Send) choose(route(1, Set.of()), "o", Set.of(first), 0))
                            .server();
            assertThat(second).isNotSameAs(first);
        }

        /** A copy of its first response would pass as the response to the second send. */
        @Test
        void excludesAServerThatRegisteredAgain() {
            registerServers(1, 0);
            Backend first = send(choose(route(1, Set.of()), "o", Set.of(), 0), 0);
            mBackends.updateServers(List.of(), 0);
            registerServers(1, 0);
            assertThat(choose(route(1, Set.of()), "o", Set.of(first), 0))
                    .isInstanceOf(BalancerDecision.Refuse.class);
        }

        @Test
        void excludesTheAddressOfAnEarlierAttempt() {
            registerServers(1, 0);
            Backend first = send(choose(route(1, Set.of()), "o", Set.of(), 0), 0);
            mBackends.updateServers(
                    List.of(
                            new ServerRegistration(
                                    "other",
                                    "a",
                                    first.registration().address(),
                                    "z1",
                                    4,
                                    false,
                                    1,
                                    0)),
                    0);
            assertThat(choose(route(1, Set.of()), "o", Set.of(first), 0))
                    .isInstanceOf(BalancerDecision.Refuse.class);
        }
    }
}
