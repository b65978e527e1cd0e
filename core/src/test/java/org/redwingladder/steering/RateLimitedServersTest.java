package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the choice among servers of which some have named rate limits. */
class RateLimitedServersTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;

    private final BackendSet mBackends = BackendSet.create(Map.of("z1", "r1", "z2", "r2"));
    private final ServerRateLimitTable mLimits = ServerRateLimitTable.create("h1");
    private final LoadBalancer mBalancer =
            LoadBalancer.create(
                    "r1",
                    mBackends,
                    new ServiceTimeEstimator(),
                    (from, to) -> from.equals(to) ? 0 : 50);
    private final Route mRoute =
            new Route(
                    "r",
                    "h",
                    "/r/",
                    RequestKind.IDEMPOTENT,
                    800,
                    250,
                    1,
                    List.of(new WeightedService("a", 1)),
                    2,
                    true,
                    Set.of());

    private static ServerRegistration server(String id, String zone, long coldUntil) {
        return new ServerRegistration(id, "a", "10.0.0.1:80", zone, 4, false, 1, coldUntil);
    }

    private void register(ServerRegistration... servers) {
        mBackends.updateServices(Map.of("a", new ServiceSpec("a", 100, 3000, 9)));
        mBackends.updateServers(List.of(servers), 0);
        mLimits.updateServers(List.of(servers), 0);
        mBalancer.updateRoutes(List.of(mRoute));
    }

    private void limit(String id, double perSecond) {
        mLimits.merge(List.of(new ServerRateLimit(id, 1, perSecond, 1, "h2")), 0);
        mBackends.applyRateLimits(mLimits);
    }

    private BalancerDecision choose(long now) {
        return mBalancer.choose(
                new LoadBalancer.Request(mRoute, "a", "o", new TriedServers(), now + SECOND), now);
    }

    /** Sends as many requests as possible within a time and returns the number for each server. */
    private Map<String, Integer> sendAll(long from, long until) {
        Map<String, Integer> sent = new java.util.TreeMap<>();
        for (long now = from; now < until; now += 10 * MILLI) {
            if (choose(now) instanceof BalancerDecision.Send send) {
                send.server().recordSent(now);
                send.server().recordEnd(SendResult.ANSWERED, now, 100, now);
                sent.merge(send.server().registration().id(), 1, Integer::sum);
            }
        }
        return sent;
    }

    @Nested
    class Permits {
        @Test
        void limitThisHostsRequests() {
            register(server("s", "z1", 0));
            limit("s", 8);
            int senders = 2 + 8 / 2;
            assertThat(sendAll(0, 10 * SECOND).get("s"))
                    .isBetween((int) (0.8 * 80 / senders), 80 / senders);
        }

        /** A placement that is not sent, as of a hedge that would wait, must cost no permit. */
        @Test
        void areTakenBySendsOnly() {
            register(server("s", "z1", 0));
            limit("s", 1);
            choose(0);
            long due = 10 * SECOND;
            assertThat(choose(due)).isInstanceOf(BalancerDecision.Send.class);
            BalancerDecision again = choose(due);
            assertThat(again).isInstanceOf(BalancerDecision.Send.class);
            for (int i = 0; i < 2; i++) {
                ((BalancerDecision.Send) again).server().recordSent(due);
            }
            assertThat(choose(due)).isInstanceOf(BalancerDecision.Refuse.class);
        }

        @Test
        void coldServerWithLimitGetsTheLowerOfBothRates() {
            register(server("s", "z1", 100 * SECOND));
            limit("s", 1000);
            int cold = sendAll(0, 10 * SECOND).get("s");
            assertThat(cold).isLessThanOrEqualTo(30);
            register(server("t", "z1", 100 * SECOND));
            limit("t", 0.3);
            assertThat(sendAll(0, 10 * SECOND).getOrDefault("t", 0)).isLessThanOrEqualTo(2);
        }

        @Test
        void otherServersTakeTheRest() {
            register(server("s", "z1", 0), server("t", "z1", 0), server("u", "z1", 0));
            limit("s", 2);
            Map<String, Integer> sent = sendAll(0, 10 * SECOND);
            assertThat(sent.values().stream().mapToInt(i -> i).sum()).isEqualTo(1000);
            assertThat(sent.getOrDefault("s", 0)).isLessThanOrEqualTo(20);
        }

        @Test
        void deniedOnesAreCounted() {
            register(server("s", "z1", 0), server("t", "z1", 0));
            limit("s", 0);
            sendAll(0, SECOND);
            assertThat(mBackends.limited()).hasSize(1);
            assertThat(mBackends.limited().get(0).permitsDenied()).isEqualTo(100);
        }
    }

    @Nested
    class Refusals {
        /** Clients that are told the same time return together and are refused again. */
        @Test
        void promisePermitsOneAfterTheOther() {
            register(server("s", "z1", 0), server("t", "z2", 0));
            limit("s", 4);
            limit("t", 4);
            List<Long> delays = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                BalancerDecision.Refuse refuse = (BalancerDecision.Refuse) choose(0);
                assertThat(refuse.reason()).isEqualTo(BalancerDecision.Reason.LIMITED);
                assertThat(refuse.limitedServers()).isEqualTo(2);
                delays.add(refuse.retryAfterMillis());
            }
            assertThat(delays).allMatch(millis -> millis >= 100 && millis <= 2000);
            assertThat(delays.stream().distinct().count()).isGreaterThanOrEqualTo(4);
        }

        @Test
        void ofHostWithoutShareComeAtOnceToo() {
            register(server("s", "z1", 0));
            limit("s", 4);
            mBalancer.rateShares((service, server, maxSenders) -> SenderShare.NONE);
            BalancerDecision.Refuse refuse = (BalancerDecision.Refuse) choose(0);
            assertThat(refuse.reason()).isEqualTo(BalancerDecision.Reason.LIMITED);
            assertThat(refuse.retryAfterMillis()).isBetween(100L, 2000L);
        }
    }

    @Nested
    class Connections {
        /** Each host alone would open as many connections as a server accepts from all. */
        @Test
        void ofAllHostsTogetherStayWithinWhatAServerAccepts() {
            register(server("s", "z1", 0));
            mBalancer.hostCount(50);
            int sent = 0;
            while (sent < 10 && choose(0) instanceof BalancerDecision.Send send) {
                send.server().recordSent(0);
                sent++;
            }
            assertThat(sent).isEqualTo(100 / 50);
        }

        @Test
        void areNeverFewerThanOne() {
            register(server("s", "z1", 0));
            mBalancer.hostCount(7_500);
            assertThat(choose(0)).isInstanceOf(BalancerDecision.Send.class);
        }
    }

    @Nested
    class Regions {
        /** A region whose servers limit their requests cannot serve its share of them. */
        @Test
        void limitReducesCapacity() {
            register(server("s", "z1", 0), server("t", "z2", 0));
            limit("s", 2);
            Map<String, Double> slots = mBackends.slotsByRegion("a", 0.5);
            assertThat(slots).containsEntry("r1", 1.0).containsEntry("r2", 4.0);
        }
    }
}
