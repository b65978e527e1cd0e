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

    /** Sends requests one after the other until it is stopped, and counts the answers. */
    private static final class Load extends Thread {
        private final AtomicBoolean mStopped = new AtomicBoolean();
        private final Map<String, Integer> mAnswers = new TreeMap<>();
        private final TestZone mZone;
        private final Daemon mIngress;

        Load(TestZone zone, Daemon ingress) {
            mZone = zone;
            mIngress = ingress;
        }

        @Override
        public void run() {
            while (!mStopped.get()) {
                String answer;
                try {
                    answer = mZone.request(mIngress);
                } catch (Exception e) {
                    answer = String.valueOf(e);
                }
                synchronized (mAnswers) {
                    mAnswers.merge(answer, 1, Integer::sum);
                }
            }
        }

        int answered() {
            synchronized (mAnswers) {
                return mAnswers.getOrDefault(TestZone.ANSWERED, 0);
            }
        }

        Map<String, Integer> end() throws InterruptedException {
            mStopped.set(true);
            join();
            return mAnswers;
        }
    }

    private static Daemon other(List<Daemon> daemons, Daemon than) {
        return daemons.stream().filter(d -> d != than).findFirst().orElseThrow();
    }

    @Nested
    class PlannedStopOfTheOwner {
        /** Guards against requests that are refused or cut off while the owner hands over. */
        @Test
        void answersEveryRequest() throws Exception {
            try (TestZone zone = new TestZone()) {
                List<Daemon> daemons = zone.startFour();
                Daemon owner = TestZone.owner(daemons);
                Load load = new Load(zone, other(daemons, owner));
                load.start();
                Eventually.until("requests are answered", () -> load.answered() > 100);

                zone.post(owner, "/v1/drain", "{}");
                Eventually.until("the owner has stopped", () -> owner.ended().isDone());
                assertThat(zone.operator(owner, "/ready").statusCode()).isEqualTo(503);
                owner.close();

                int before = load.answered();
                Eventually.until("another owner serves", () -> load.answered() > before + 100);
                assertThat(load.end()).containsOnlyKeys(TestZone.ANSWERED);
                assertThat(owner.ended().join()).isTrue();
                Roster roster = other(daemons, owner).state().roster();
                assertThat(roster.members()).hasSize(3);
            }
        }
    }

    @Nested
    class KilledOwner {
        /** Guards against a site that nobody takes over after its owner was killed. */
        @Test
        void isTakenOver() throws Exception {
            try (TestZone zone = new TestZone()) {
                List<Daemon> daemons = zone.startFour();
                Daemon killed = TestZone.owner(daemons);
                List<Daemon> rest = new ArrayList<>(daemons);
                rest.remove(killed);

                killed.close();

                Eventually.until("another owner serves", () -> TestZone.owner(rest) != null);
                Roster roster = rest.get(0).state().roster();
                assertThat(roster.memberOf(killed.state().member().host())).isNull();
                Daemon owner = TestZone.owner(rest);
                assertThat(Ownership.ownerOf(roster, TestZone.SERVICE).id())
                        .isEqualTo(owner.state().member().id());
                Eventually.until("requests are answered", () -> answers(zone, rest.get(0)));
            }
        }

        private boolean answers(TestZone zone, Daemon ingress) {
            try {
                return zone.request(ingress).equals(TestZone.ANSWERED);
            } catch (Exception e) {
                return false;
            }
        }
    }

    @Nested
    class PlatformDown {
        /** Guards against a zone that stops serving when it cannot reach the platform. */
        @Test
        void goesOnServing() throws Exception {
            try (TestZone zone = new TestZone()) {
                List<Daemon> daemons = zone.startFour();
                zone.platform().inject(zone.platform().faults().withDown(true));
                Load load = new Load(zone, daemons.get(0));
                load.start();
                long until = System.nanoTime() + 3_000_000_000L;
                Eventually.until("confirmations were renewed", () -> System.nanoTime() > until);
                assertThat(load.end()).containsOnlyKeys(TestZone.ANSWERED);
            }
        }
    }
}
