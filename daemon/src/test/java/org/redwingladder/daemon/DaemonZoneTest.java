package org.redwingladder.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.http.Eventually;
import org.redwingladder.membership.Ownership;
import org.redwingladder.membership.Roster;

class DaemonZoneTest {

    /** A closed-loop client that sends requests until it is stopped, and counts the responses. */
    private static final class LoadGenerator extends Thread {
        private final AtomicBoolean mStopped = new AtomicBoolean();
        private final Map<String, Integer> mCountByResponse = new TreeMap<>();
        private final TestZone mZone;
        private final Daemon mIngress;

        LoadGenerator(TestZone zone, Daemon ingress) {
            mZone = zone;
            mIngress = ingress;
        }

        @Override
        public void run() {
            while (!mStopped.get()) {
                String response;
                try {
                    response = mZone.request(mIngress);
                } catch (Exception e) {
                    response = String.valueOf(e);
                }
                synchronized (mCountByResponse) {
                    mCountByResponse.merge(response, 1, Integer::sum);
                }
            }
        }

        int successes() {
            synchronized (mCountByResponse) {
                return mCountByResponse.getOrDefault(TestZone.ANSWERED, 0);
            }
        }

        /** Stops sending; returns the counts by status 200, error body or exception. */
        Map<String, Integer> stopSending() throws InterruptedException {
            mStopped.set(true);
            join();
            return mCountByResponse;
        }
    }

    private static Daemon other(List<Daemon> daemons, Daemon than) {
        return daemons.stream().filter(d -> d != than).findFirst().orElseThrow();
    }

    @Nested
    class GracefulShutdownOfTheOwner {
        /** Guards against requests that fail while the owner hands its site over. */
        @Test
        void failsNoRequest() throws Exception {
            try (TestZone zone = new TestZone()) {
                List<Daemon> daemons = zone.startFour();
                Daemon owner = TestZone.owner(daemons);
                LoadGenerator load = new LoadGenerator(zone, other(daemons, owner));
                load.start();
                Eventually.until("requests succeed", () -> load.successes() > 100);

                zone.post(owner, "/v1/drain", "{}");
                Eventually.until("the owner has stopped", () -> owner.ended().isDone());
                assertThat(zone.operator(owner, "/ready").statusCode()).isEqualTo(503);
                owner.close();

                int before = load.successes();
                Eventually.until("another owner serves", () -> load.successes() > before + 100);
                assertThat(load.stopSending()).containsOnlyKeys(TestZone.ANSWERED);
                assertThat(owner.ended().join()).isTrue();
                Roster roster = other(daemons, owner).state().roster();
                assertThat(roster.members()).hasSize(3);
            }
        }
    }

    @Nested
    class CrashOfTheOwner {
        /** Guards against a site that gets no new owner after its owner has crashed. */
        @Test
        void movesTheSiteToAnotherHost() throws Exception {
            try (TestZone zone = new TestZone()) {
                List<Daemon> daemons = zone.startFour();
                Daemon crashed = TestZone.owner(daemons);
                List<Daemon> survivors = new ArrayList<>(daemons);
                survivors.remove(crashed);

                crashed.close();

                Eventually.until("another owner serves", () -> TestZone.owner(survivors) != null);
                Roster roster = survivors.get(0).state().roster();
                assertThat(roster.memberOnHost(crashed.state().member().host())).isNull();
                Daemon owner = TestZone.owner(survivors);
                assertThat(Ownership.ownerOf(roster, TestZone.SERVICE).id())
                        .isEqualTo(owner.state().member().id());
                Eventually.until("requests succeed", () -> requestSucceeds(zone, survivors.get(0)));
            }
        }

        private boolean requestSucceeds(TestZone zone, Daemon ingress) {
            try {
                return zone.request(ingress).equals(TestZone.ANSWERED);
            } catch (Exception e) {
                return false;
            }
        }
    }

    @Nested
    class PlatformOutage {
        /** Guards against a zone that stops serving while the platform is unavailable. */
        @Test
        void doesNotInterruptService() throws Exception {
            try (TestZone zone = new TestZone()) {
                List<Daemon> daemons = zone.startFour();
                zone.platform().inject(zone.platform().faults().withDown(true));
                LoadGenerator load = new LoadGenerator(zone, daemons.get(0));
                load.start();
                long until = System.nanoTime() + 3_000_000_000L;
                Eventually.until("owner leases have been renewed", () -> System.nanoTime() > until);
                assertThat(load.stopSending()).containsOnlyKeys(TestZone.ANSWERED);
            }
        }
    }
}
