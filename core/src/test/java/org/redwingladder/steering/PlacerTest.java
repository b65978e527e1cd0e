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

class PlacerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Map<String, String> REGIONS = Map.of("z1", "r1", "z2", "r2");
    private static final ServiceSpec SERVICE = new ServiceSpec("a", 100, 3000, 9);

    private final BackendSet mBackends = BackendSet.create(REGIONS);
    private final ServiceTimes mTimes = new ServiceTimes();
    private final Placer mPlacer =
            Placer.create("r1", mBackends, mTimes, (from, to) -> from.equals(to) ? 0 : 50);

    private static Route route(int priority, Set<String> homes) {
        return new Route(
                "r" + priority,
                "h",
                "/" + priority + "/",
                RequestKind.IDEMPOTENT,
                800,
                250,
                priority,
                List.of(new Destination("a", 1)),
                2,
                true,
                homes);
    }

    private static ServerEntry server(String id, String zone, long coldUntil) {
        return new ServerEntry(id, "a", "10.0.0.1:80", zone, 4, false, 1, coldUntil);
    }

    private void servers(int inFirst, int inSecond) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < inFirst; i++) {
            entries.add(server("s" + i, "z1", 0));
        }
        for (int i = 0; i < inSecond; i++) {
            entries.add(server("t" + i, "z2", 0));
        }
        mBackends.services(Map.of("a", SERVICE));
        mBackends.servers(entries, 0);
        mPlacer.routes(List.of(route(1, Set.of()), route(2, Set.of())));
    }

    private Placement place(Route route, @Nullable String key, Set<Backend> excluded, long now) {
        return mPlacer.place(
                new Placer.Request(route, "a", key, excluded, now + 800_000_000L), now);
    }

    private Backend sent(Placement placement, long now) {
        Backend server = ((Placement.Send) placement).server();
        server.sent(now);
        return server;
    }

    @Nested
    class Affinity {
        /** Spreading an object over several servers would cause a cache miss on each. */
        @Test
        void keepsAnObjectAtOneServerWhileItHasRoom() {
            servers(10, 0);
            for (int object = 0; object < 50; object++) {
                Set<Backend> seen = new HashSet<>();
                for (int i = 0; i < 3; i++) {
                    Backend server = sent(place(route(1, Set.of()), "o" + object, Set.of(), 0), 0);
                    server.ended(SendResult.CANCELLED, 0, 1, 0);
                    seen.add(server);
                }
                assertThat(seen).hasSize(1);
            }
        }

        /** Remapping other objects would cause needless cache misses. */
        @Test
        void movesOnlyTheObjectsOfAServerThatLeaves() {
            servers(10, 0);
            Map<String, String> before = new HashMap<>();
            for (int i = 0; i < 100; i++) {
                before.put("o" + i, first("o" + i));
            }
            servers(9, 0);
            before.forEach(
                    (object, server) -> {
                        if (!server.equals("s9")) {
                            assertThat(first(object)).isEqualTo(server);
                        }
                    });
        }

        private String first(String object) {
            Placement placement = place(route(1, Set.of()), object, Set.of(), 0);
            return ((Placement.Send) placement).server().entry().id();
        }
    }

    @Nested
    class Overload {
        /** Without load shedding, requests wait in queues until their answers are useless. */
        @Test
        void refusesAtOnceWhatWouldWaitTooLong() {
            servers(2, 0);
            int sent = 0;
            Placement placement = place(route(1, Set.of()), "o", Set.of(), 0);
            while (placement instanceof Placement.Send && sent < 100) {
                sent(placement, 0);
                sent++;
                placement = place(route(1, Set.of()), "o", Set.of(), 0);
            }
            assertThat(placement).isInstanceOf(Placement.Refuse.class);
            assertThat(((Placement.Refuse) placement).reason())
                    .isEqualTo(Placement.Reason.OVERLOADED);
            assertThat(((Placement.Refuse) placement).retryAfterMillis()).isBetween(100L, 2000L);
            assertThat(sent).isBetween(4, 20);
        }

        /** Lower-priority requests must not fill the queue and displace higher-priority ones. */
        @Test
        void refusesTheLessUrgentFirst() {
            servers(1, 0);
            Placement urgent = place(route(1, Set.of()), "o", Set.of(), 0);
            while (place(route(2, Set.of()), "o", Set.of(), 0) instanceof Placement.Send) {
                sent(urgent, 0);
            }
            assertThat(place(route(1, Set.of()), "o", Set.of(), 0))
                    .isInstanceOf(Placement.Send.class);
        }
    }

    @Nested
    class NoAffinityGain {
        /** Requests must not be refused while other servers are free and caches do not matter. */
        @Test
        void usesAllServersWhereObjectsNeedNoWarmth() {
            servers(4, 0);
            for (int i = 0; i < 300; i++) {
                mTimes.warm("a", 100, 250);
                mTimes.cold("a", 100, 250);
            }
            for (int i = 0; i < 16; i++) {
                sent(place(route(1, Set.of()), "o", Set.of(), 0), 0);
            }
            assertThat(mBackends.usable("a")).allMatch(server -> server.inFlight() >= 3);
        }
    }

    @Nested
    class Regions {
        /** Requests of a route with home regions must not leave these regions. */
        @Test
        void staysInTheHomeRegions() {
            servers(0, 3);
            assertThat(place(route(1, Set.of("r1")), "o", Set.of(), 0))
                    .isInstanceOf(Placement.Refuse.class);
            assertThat(place(route(1, Set.of("r2")), "o", Set.of(), 0))
                    .isInstanceOf(Placement.Send.class);
        }

        /** Servers of an evacuated zone must receive no requests. */
        @Test
        void leavesEvacuatedZonesAlone() {
            servers(3, 3);
            mBackends.evacuated(Set.of("z1"), 0);
            Backend server =
                    ((Placement.Send) place(route(1, Set.of()), "o", Set.of(), 0)).server();
            assertThat(server.entry().zone()).isEqualTo("z2");
        }

        /** A small region would be overloaded if it served all requests of its clients. */
        @Test
        void exportsAPartThatFollowsTheRoom() {
            servers(1, 9);
            mPlacer.plan(Map.of("a", Map.of("r1", 100.0, "r2", 100.0)), 0);
            int local = 0;
            for (int i = 0; i < 1000; i++) {
                Placement placement = place(route(1, Set.of()), "object-" + i, Set.of(), 0);
                if (((Placement.Send) placement).server().entry().zone().equals("z1")) {
                    local++;
                }
            }
            assertThat(local).isLessThan(400);
            assertThat(mPlacer.parts("a").get("r1")).isLessThan(0.4);
        }

        /** The first demand report must not move a surge of requests between regions. */
        @Test
        void movesSlowlyFromTheFirstRequestOn() {
            servers(1, 9);
            mPlacer.plan(Map.of(), 0);
            double before = mPlacer.parts("a").get("r1");
            place(route(1, Set.of()), "o", Set.of(), 0);
            mPlacer.plan(Map.of("a", Map.of("r1", 1.0, "r2", 1.0)), 2 * SECOND);
            assertThat(mPlacer.parts("a").get("r1")).isCloseTo(before + 0.08, within(1e-9));
        }

        /** A restarted host would otherwise need half a minute to reach its target shares. */
        @Test
        void followsTheDemandAtOnceBeforeItsFirstRequest() {
            servers(1, 9);
            mPlacer.plan(Map.of(), 0);
            mPlacer.plan(Map.of("a", Map.of("r1", 1.0, "r2", 1.0)), SECOND);
            assertThat(mPlacer.parts("a")).containsExactly(Map.entry("r1", 1.0));
        }
    }

    @Nested
    class ColdServers {
        /** A new server must not be overloaded while it is cold. */
        @Test
        void staysWithinThePartOfThisHost() {
            mBackends.services(Map.of("a", SERVICE));
            mBackends.servers(List.of(server("s0", "z1", 3 * SECOND)), 0);
            int sent = 0;
            for (long now = 0; now < SECOND; now += SECOND / 100) {
                if (place(route(1, Set.of()), "o", Set.of(), now) instanceof Placement.Send) {
                    sent++;
                }
            }
            assertThat(sent).isBetween(1, 4);
        }

        /** If all hosts sent to the same cold server, they would exceed its warm-up rate. */
        @Test
        void getsNothingFromHostsThatDoNotFeedIt() {
            mBackends.services(Map.of("a", SERVICE));
            mBackends.servers(List.of(server("s0", "z1", 3 * SECOND)), 0);
            mPlacer.feeders(id -> false);
            assertThat(place(route(1, Set.of()), "o", Set.of(), 0))
                    .isInstanceOf(Placement.Refuse.class);
        }

        /** A zone must not receive its full load immediately after an evacuation. */
        @Test
        void takesServersOfAReturningZoneAsCold() {
            servers(1, 0);
            mBackends.evacuated(Set.of("z1"), 0);
            mBackends.evacuated(Set.of(), SECOND);
            place(route(1, Set.of()), "o", Set.of(), SECOND);
            assertThat(place(route(1, Set.of()), "o", Set.of(), SECOND))
                    .isInstanceOf(Placement.Refuse.class);
            assertThat(place(route(1, Set.of()), "o", Set.of(), 5 * SECOND))
                    .isInstanceOf(Placement.Send.class);
        }
    }

    @Nested
    class Failures {
        /** Without ejection, requests are sent repeatedly to a server that does not answer. */
        @Test
        void leavesAnUnreachableServerAloneForAWhile() {
            servers(1, 0);
            Backend server = sent(place(route(1, Set.of()), "o", Set.of(), 0), 0);
            server.ended(SendResult.UNREACHABLE, 0, 100, 0);
            assertThat(place(route(1, Set.of()), "o", Set.of(), SECOND / 2))
                    .isInstanceOf(Placement.Refuse.class);
            assertThat(place(route(1, Set.of()), "o", Set.of(), 2 * SECOND))
                    .isInstanceOf(Placement.Send.class);
        }

        /** A retry must not be sent to the server that has just failed. */
        @Test
        void passesOverServersThatHadTheRequest() {
            servers(2, 0);
            Backend first = sent(place(route(1, Set.of()), "o", Set.of(), 0), 0);
            Backend second =
                    ((Placement.Send) place(route(1, Set.of()), "o", Set.of(first), 0)).server();
            assertThat(second).isNotSameAs(first);
        }
    }
}
