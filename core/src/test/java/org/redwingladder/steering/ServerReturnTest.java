package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates hosts whose common server ends and returns cold, in virtual time. */
class ServerReturnTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long DOWN = 10 * SECOND;
    private static final long BACK = 12 * SECOND;
    private static final long WARM = 15 * SECOND;
    private static final double COLD_PER_SECOND = 9.5;
    private static final double ALLOWED = 1.5 * COLD_PER_SECOND + 5;
    private static final int SEEDS = 5;
    private static final ServerRegistration SERVER =
            new ServerRegistration("s", "a", "10.0.0.1:80", "z", 4, false, 1, 0);

    /** Which part of the mechanism works. */
    private enum Variant {
        ACTUAL,
        /** Hosts tell each other nothing. */
        NO_NEWS,
        /** Hosts take a server that is back for a warm one. */
        NO_WARM_UP
    }

    private record Event(long nanos, Runnable action) {}

    /** One run with a number of hosts and a demand of each in requests per second. */
    private static final class Simulation {
        private final SplittableRandom mRandom;
        private final Variant mVariant;
        private final double mDemand;
        private final PriorityQueue<Event> mEvents =
                new PriorityQueue<>((a, b) -> Long.compare(a.nanos(), b.nanos()));
        private final List<Host> mHosts = new ArrayList<>();
        private final List<Long> mArrivals = new ArrayList<>();
        private long mNow;

        Simulation(long seed, int hosts, double demand, Variant variant) {
            mRandom = new SplittableRandom(seed);
            mVariant = variant;
            mDemand = demand;
            List<HostState> states = new ArrayList<>();
            for (int i = 0; i < hosts; i++) {
                String name = "h" + i;
                states.add(
                        new HostState(
                                name, 1, 1, "z", name, name, true, true, 1, Map.of("a", demand)));
            }
            states.forEach(state -> mHosts.add(new Host(state.name(), states)));
            mHosts.forEach(Host::scheduleRequest);
            while (mNow < WARM + 3 * SECOND) {
                Event event = mEvents.remove();
                mNow = event.nanos();
                event.action().run();
            }
        }

        private void after(long nanos, Runnable action) {
            mEvents.add(new Event(mNow + nanos, action));
        }

        /** Returns the most arrivals at the cold server within any second. */
        int mostWhileCold() {
            List<Long> cold = mArrivals.stream().filter(at -> at >= BACK && at < WARM).toList();
            int most = 0;
            int first = 0;
            for (int last = 0; last < cold.size(); last++) {
                while (cold.get(last) - cold.get(first) >= SECOND) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
            return most;
        }

        long arrivalsAfter(long nanos) {
            return mArrivals.stream().filter(at -> at >= nanos).count();
        }

        private final class Host {
            private final BackendSet mBackends = BackendSet.create(Map.of("z", "r"));
            private final SharedServerRates mRates = new SharedServerRates(mBackends);
            private final SenderSelector mSenders;
            private final ServerWarmUpTable mWarmUps;
            private final Backend mBackend;

            Host(String name, List<HostState> all) {
                mSenders = SenderSelector.create(name);
                mSenders.updateHosts(all, 1, -2 * SenderSelector.HANDOVER_NANOS);
                mSenders.updateHosts(all, 1, 0);
                mRates.shares(mSenders::share);
                mWarmUps = ServerWarmUpTable.create(name);
                mWarmUps.updateServers(List.of(SERVER), 0);
                mBackends.updateServices(
                        Map.of("a", new ServiceSpec("a", 900, 3_000, COLD_PER_SECOND)));
                mBackends.updateServers(List.of(SERVER), 0);
                mBackend = mBackends.usable("a").get(0);
            }

            void scheduleRequest() {
                double seconds = -Math.log(1 - mRandom.nextDouble()) / mDemand;
                after(
                        (long) (seconds * SECOND),
                        () -> {
                            request();
                            scheduleRequest();
                        });
            }

            private void request() {
                if (!mBackend.usable(mNow) || !mRates.hasPermit(mBackend, "a", mNow)) {
                    return;
                }
                long sent = mNow;
                mBackend.recordSent(sent);
                if (mNow >= DOWN && mNow < BACK) {
                    after(MILLI, () -> refused(sent));
                } else {
                    mArrivals.add(sent);
                    after(20 * MILLI, () -> answered(sent));
                }
            }

            private void refused(long sent) {
                mBackend.recordEnd(SendResult.UNREACHABLE, sent, 20, mNow);
                changed(mWarmUps.recordNotListening(SERVER, sent, mNow));
            }

            private void answered(long sent) {
                mBackend.recordEnd(SendResult.ANSWERED, sent, 20, mNow);
                changed(mWarmUps.recordAnswer(SERVER, null, 3_000, sent, mNow));
            }

            private void changed(ServerWarmUp warmUp) {
                if (warmUp == null || mVariant == Variant.NO_WARM_UP) {
                    return;
                }
                mBackends.applyWarmUps(mWarmUps);
                for (int i = 0; i < 5 && mVariant == Variant.ACTUAL; i++) {
                    Host receiver = mHosts.get(mRandom.nextInt(mHosts.size()));
                    after(
                            mRandom.nextLong(5 * MILLI, 280 * MILLI),
                            () ->
                                    receiver.mWarmUps
                                            .merge(List.of(warmUp), mNow)
                                            .forEach(receiver::changed));
                }
            }
        }
    }

    @Nested
    class AllHostsTogether {
        /** The sum of all hosts must not fail the server. */
        @ParameterizedTest
        @ValueSource(ints = {1, 3, 24, 140})
        void staySlowEnoughForTheColdServer(int hosts) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                Simulation run = new Simulation(seed, hosts, 60.0 / hosts, Variant.ACTUAL);
                assertThat((double) run.mostWhileCold()).as("seed " + seed).isLessThan(ALLOWED);
                assertThat(run.mostWhileCold()).as("seed " + seed).isPositive();
            }
        }

        /** Hosts that all saw the server end need no news to stay slow enough. */
        @ParameterizedTest
        @ValueSource(ints = {1, 3, 24, 140})
        void staySlowEnoughWithoutNews(int hosts) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                Simulation run = new Simulation(seed, hosts, 10, Variant.NO_NEWS);
                assertThat((double) run.mostWhileCold()).as("seed " + seed).isLessThan(ALLOWED);
            }
        }

        /** A server would otherwise stay slow for good. */
        @Test
        void useTheWarmServerAgain() {
            Simulation run = new Simulation(1, 24, 60.0 / 24, Variant.ACTUAL);
            assertThat(run.arrivalsAfter(WARM + 2 * SECOND)).isGreaterThan(40);
        }

        /** The simulation must detect that the mechanism is missing. */
        @ParameterizedTest
        @ValueSource(ints = {1, 3, 24})
        void failTheServerIfTheyTakeItForWarm(int hosts) {
            Simulation run = new Simulation(1, hosts, 60.0 / hosts, Variant.NO_WARM_UP);
            assertThat((double) run.mostWhileCold()).isGreaterThan(ALLOWED);
        }
    }
}
