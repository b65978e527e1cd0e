package org.redwingladder.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.redwingladder.http.Eventually.until;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.LongNode;
import java.net.URI;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.control.SettingsPut.Outcome;
import org.redwingladder.http.Json;
import org.redwingladder.platform.Transaction;
import org.redwingladder.platform.TransactionResult;
import org.redwingladder.settings.SettingsChange;
import org.redwingladder.settings.SettingsReplica;
import org.redwingladder.settings.SettingsTree;
import org.redwingladder.standin.PlatformFaults;

/** Guarantee 8: an accepted configuration is in force everywhere and never reverts. */
class SettingsReplicationFailureTest {
    private static final String LIFETIME = "/deployment/lookupLifetimeMillis";

    private TestSettingsCluster mCluster;
    private TestSettingsCluster.Host mFirst;
    private TestSettingsCluster.Host mSecond;

    @BeforeEach
    void start() throws Exception {
        mCluster = new TestSettingsCluster();
        mFirst = mCluster.start("h1", 1, "suva", 0);
        mSecond = mCluster.start("h2", 1, "suva", 0);
        mCluster.roster("suva", 0, mFirst, mSecond);
        assertThat(mFirst.put("/deployment", TestSettingsCluster.deployment(1001), 0, "c1"))
                .isEqualTo(new Outcome.Accepted(1));
        until("both serve", () -> mFirst.served() == 1 && mSecond.served() == 1);
    }

    @AfterEach
    void stop() {
        mCluster.close();
    }

    private Outcome lifetime(TestSettingsCluster.Host host, long millis, long subtree, String id) {
        return host.put(LIFETIME, LongNode.valueOf(millis), subtree, id);
    }

    /** Returns the version that {@code host} knows after it heard of the first host's. */
    private long versionAfterHeartbeat(TestSettingsCluster.Host host) {
        TestSettingsCluster.heartbeat(mFirst, host);
        return host.mDriver.tree().join().version();
    }

    private long recordedChanges() {
        return mCluster.mPlatform.table().rows("settings/change/", 0, 1000).size();
    }

    @Nested
    class Spread {
        /** Guards against a change that a zone without the platform never gets. */
        @Test
        void reachesAZoneThatIsCutOffFromThePlatform() throws Exception {
            TestSettingsCluster.Host far = mCluster.start("h3", 1, "nadi", 1);
            mCluster.roster("nadi", 0, far);
            until("the zone serves", () -> far.served() == 1);
            mCluster.mPlatform.inject(
                    PlatformFaults.NONE.withRefuseFrom(
                            List.of(mCluster.mPlatform.addresses().get(1))));

            assertThat(lifetime(mFirst, 1002, 1, "c2")).isEqualTo(new Outcome.Accepted(2));

            until("all serve by it", () -> far.lifetime() == 1002 && mSecond.lifetime() == 1002);
        }

        /** Guards against a member that misses a push and nobody tells. */
        @Test
        void reachesAMemberThatHearsOfItByAHeartbeat() throws Exception {
            TestSettingsCluster.Host third = mCluster.start("h3", 1, "suva", 0);
            until("it knows the version", () -> third.mDriver.tree().join().version() == 1);
            // Without its ticks the host asks nobody by itself.
            third.mDriver.stop();
            lifetime(mFirst, 1002, 1, "c2");

            until("it has pulled", () -> versionAfterHeartbeat(third) == 2);
        }
    }

    @Nested
    class StaleRead {
        /** Guards against a restarted host that serves by a version older than the accepted one. */
        @Test
        void restartNeverServesBelowTheFloor() throws Exception {
            mCluster.mPlatform.inject(PlatformFaults.NONE.withStaleReads(true));
            assertThat(lifetime(mFirst, 1002, 1, "c2")).isEqualTo(new Outcome.Accepted(2));
            until("both serve by it", () -> mFirst.served() == 2 && mSecond.served() == 2);
            TestSettingsCluster.Host restarted = mCluster.start("h2", 2, "suva", 0);
            mCluster.roster("suva", 2, mFirst, restarted);

            // The naive mechanism serves by what the first read shows.
            assertThat(restarted.mStore.snapshot().join().version()).isEqualTo(1);

            until("it serves", () -> restarted.served() > 0);
            assertThat(restarted.mServedVersions).containsOnly(2L);
        }

        /** Guards against a put that follows a stale document and undoes an accepted change. */
        @Test
        void putNeverFollowsAStaleHead() {
            mCluster.mPlatform.inject(PlatformFaults.NONE.withStaleReads(true));
            lifetime(mFirst, 1002, 1, "c2");
            until("h1 serves by it", () -> mFirst.served() == 2);

            assertThat(lifetime(mFirst, 1003, 1, "c3")).isInstanceOf(Outcome.NotRun.class);
            assertThat(recordedChanges()).isEqualTo(2);
        }
    }

    @Nested
    class ReturningPeer {
        /** Guards against a peer that was cut off and takes others back to its older version. */
        @Test
        void bringsNobodyBack() {
            SettingsMessage old = mSecond.mDriver.answerPull(0).join();
            lifetime(mFirst, 1002, 1, "c2");
            until("h1 serves by it", () -> mFirst.served() == 2);

            SettingsMessage answer = mFirst.mDriver.answerPush(old).join();

            assertThat(answer.version()).isEqualTo(2);
            assertThat(mFirst.mServedVersions).isSorted();
            assertThat(mFirst.lifetime()).isEqualTo(1002);
            // The naive mechanism takes what the peer sends.
            SettingsTree taken = old.snapshot() == null ? null : old.snapshot().tree();
            assertThat(taken == null ? 1 : taken.version()).isLessThan(mFirst.served());
        }
    }

    @Nested
    class LostAnswer {
        /** Guards against an operator's change that is made twice, or reported as failed. */
        @Test
        void changeIsMadeOnceAndReadBack() {
            mCluster.mPlatform.inject(PlatformFaults.NONE.withLostAnswers(-1));
            Outcome outcome = lifetime(mFirst, 1002, 1, "c2");
            mCluster.mPlatform.inject(PlatformFaults.NONE);

            assertThat(outcome).isEqualTo(new Outcome.Accepted(2));
            assertThat(lifetime(mSecond, 1002, 1, "c2")).isEqualTo(new Outcome.Accepted(2));
            assertThat(recordedChanges()).isEqualTo(2);
        }

        /** Guards against a test that a blind retry passes too. */
        @Test
        void blindRetryIsCaught() {
            for (int attempt = 0; attempt < 2; attempt++) {
                SettingsStore.Head head = mFirst.mStore.head().join();
                SettingsTree tree = mFirst.mDriver.catchUp(head).join();
                SettingsChange change =
                        new SettingsChange(
                                head.version() + 1,
                                "retry" + attempt,
                                "deployment",
                                LIFETIME,
                                LongNode.valueOf(1002),
                                "ana",
                                1);
                long row = mFirst.mStore.subtreeRow("deployment").join();
                SettingsTree next = apply(tree, change);
                mFirst.mStore.commit("t" + attempt, head, row, change, next).join();
            }
            assertThat(recordedChanges()).isEqualTo(3);
        }

        /** Guards against "not accepted" for a change that a delayed put still makes. */
        @Test
        void checkedChangeCanNoLongerBeAccepted() throws Exception {
            assertThat(check("late").path("state").asText()).isEqualTo("not-accepted");

            assertThat(lifetime(mFirst, 1002, 1, "late")).isInstanceOf(Outcome.Settled.class);
            assertThat(check("c1").path("version").asLong()).isEqualTo(1);
            assertThat(mFirst.served()).isEqualTo(1);
        }

        private JsonNode check(String id) throws Exception {
            URI uri = URI.create("http://" + mFirst.address() + "/v1/settings/changes/" + id);
            try (var in = uri.toURL().openStream()) {
                return Json.mapper().readTree(in);
            }
        }
    }

    @Nested
    class TwoOperators {
        /** Guards against two operators who are both told that their change is in force. */
        @Test
        void oneWinsAndTheOtherLearnsWhich() {
            for (long round = 1; round <= 10; round++) {
                long subtree = round;
                String id = "r" + round;
                CompletableFuture<Outcome> other =
                        CompletableFuture.supplyAsync(
                                () -> lifetime(mSecond, 3000 + subtree, subtree, id + "b"));
                Outcome one = lifetime(mFirst, 2000 + subtree, subtree, id + "a");
                List<Outcome> outcomes = List.of(one, other.orTimeout(20, TimeUnit.SECONDS).join());

                assertThat(outcomes).filteredOn(o -> o instanceof Outcome.Accepted).hasSize(1);
                assertThat(outcomes)
                        .filteredOn(o -> o instanceof Outcome.Conflict)
                        .singleElement()
                        .satisfies(o -> assertThat(((Outcome.Conflict) o).won()).isNotNull());
                assertThat(recordedChanges()).isEqualTo(round + 1);
            }
        }

        /** Guards against a test that writes without checks pass too. */
        @Test
        void writesWithoutChecksAreCaught() {
            Set<String> accepted = new HashSet<>();
            SettingsStore.Head head = mFirst.mStore.head().join();
            for (String id : List.of("a", "b")) {
                Transaction unchecked =
                        Transaction.of(id)
                                .put("settings/change/2", LongNode.valueOf(2))
                                .put(
                                        SettingsStore.HEAD,
                                        Json.mapper()
                                                .createObjectNode()
                                                .put("version", head.version() + 1));
                if (mFirst.mStore.commit(unchecked).join() instanceof TransactionResult.Committed) {
                    accepted.add(id);
                }
            }
            assertThat(accepted).hasSize(2);
            assertThat(recordedChanges()).isEqualTo(2);
        }

        /** Guards against another team's change that makes a put fail. */
        @Test
        void otherTeamsDoNotConflict() {
            SettingsPut.Request store =
                    new SettingsPut.Request(
                            "/teams/store",
                            Json.mapper().createObjectNode(),
                            0,
                            "s1",
                            "store",
                            "key",
                            "ana",
                            1);
            CompletableFuture<Outcome> other = SettingsPut.run(mSecond.mDriver, store);

            assertThat(lifetime(mFirst, 1002, 1, "c2")).isInstanceOf(Outcome.Accepted.class);
            assertThat(other.join()).isInstanceOf(Outcome.Accepted.class);
            assertThat(recordedChanges()).isEqualTo(3);
        }
    }

    @Nested
    class Gap {
        /** Guards against a change that is applied over a missing one. */
        @Test
        void isFilledBeforeTheChangeIsTaken() throws Exception {
            TestSettingsCluster.Host lone = mCluster.start("h3", 1, "suva", 0);
            until("it knows the version", () -> lone.mDriver.tree().join().version() == 1);
            lone.mDriver.stop();
            lifetime(mFirst, 1002, 1, "c2");
            mFirst.put("/deployment/blockCount", LongNode.valueOf(10), 2, "c3");
            List<SettingsChange> all = mFirst.mStore.changes(0, 3).join();
            SettingsMessage onlyLast =
                    new SettingsMessage("h1", 1, 3, 3, List.of(all.get(2)), null, null);

            assertThat(lone.mDriver.answerPush(onlyLast).join().version()).isEqualTo(1);

            until("it has all changes", () -> versionAfterHeartbeat(lone) == 3);
            assertThat(lone.mDriver.tree().join().valueAt(LIFETIME)).hasToString("1002");
            // The naive mechanism applies the last change to what it has.
            SettingsTree naive =
                    SettingsTree.of(
                            2,
                            Map.of("deployment", TestSettingsCluster.deployment(1001)),
                            Map.of("deployment", 2L));
            assertThat(apply(naive, all.get(2)).valueAt(LIFETIME)).hasToString("1001");
        }
    }

    @Nested
    class Refusals {
        /** Guards against invalid documents and foreign keys that reach the table. */
        @Test
        void writeNothing() {
            assertThat(lifetime(mFirst, -5, 1, "bad")).isInstanceOf(Outcome.Invalid.class);
            SettingsPut.Request wrongKey =
                    new SettingsPut.Request(
                            LIFETIME, LongNode.valueOf(1), 1, "k", "deployment", "no", "ana", 1);
            assertThat(SettingsPut.run(mFirst.mDriver, wrongKey).join())
                    .isInstanceOf(Outcome.Forbidden.class);
            SettingsPut.Request wrongTeam =
                    new SettingsPut.Request(
                            LIFETIME, LongNode.valueOf(1500), 0, "t", "store", "key", "ana", 1);
            assertThat(SettingsPut.run(mFirst.mDriver, wrongTeam).join())
                    .isInstanceOf(Outcome.Invalid.class);
            assertThat(recordedChanges()).isEqualTo(1);
        }
    }

    @Nested
    class Acknowledgements {
        /** Guards against a raise while a member serves by an older version. */
        @Test
        void waitForEveryMemberAndTheFloor() throws Exception {
            TestSettingsCluster.Host third = mCluster.start("h3", 1, "suva", 0);
            // A member that the test keeps silent: it is listed before it serves.
            TestSettingsCluster.Host silent = mCluster.start("h4", 1, "nadi", 0);
            mCluster.roster("suva", 1, mFirst, mSecond, third, silent);
            lifetime(mFirst, 1002, 1, "c2");
            until("three serve by it", () -> third.served() == 2 && mSecond.served() == 2);
            // A steward polls and considers the acknowledgement in the same tick.
            long polls = mFirst.polls();
            until("the steward considered it", () -> mFirst.polls() >= polls + 3);
            assertThat(mCluster.ack("suva")).isEqualTo(1);

            mCluster.roster("suva", 2, mFirst, mSecond, third);
            until("the row is raised", () -> mCluster.ack("suva") == 2);
        }
    }

    @Nested
    class LaggingZone {
        /** Guards against a new owner without parts of caps while another zone lags. */
        @Test
        void newHostLearnsTheVersionsThatMayBeInUse() throws Exception {
            TestSettingsCluster.Host far = mCluster.start("h3", 1, "nadi", 0);
            mCluster.roster("nadi", 0, far);
            until("the zone has acknowledged", () -> mCluster.ack("nadi") == 1);
            far.mDriver.stop();
            lifetime(mFirst, 1002, 1, "c2");
            lifetime(mFirst, 1003, 2, "c3");
            TestSettingsCluster.Host joining = mCluster.start("h4", 1, "suva", 0);
            mCluster.roster("suva", 1, mFirst, mSecond, joining);

            until("it serves", () -> joining.served() == 3);
            until("it knows the version of the zone", () -> joining.mOldestKnown == 1);
        }

        /** Guards against a raise elsewhere while requests above the lower cap still run. */
        @Test
        void lowerInFlightCapIsAcknowledgedAfterItsRequestsHaveEnded() throws Exception {
            SettingsPut.Request store =
                    new SettingsPut.Request(
                            "/teams/store", team(), 0, "s1", "store", "key", "ana", 1);
            SettingsPut.run(mFirst.mDriver, store).join();
            until("both serve by it", () -> mFirst.served() == 2 && mSecond.served() == 2);
            long polls = mFirst.polls();
            mCluster.roster("suva", 2, mFirst, mSecond);
            until("the steward considered it", () -> mFirst.polls() >= polls + 3);

            // The cap is new, so that requests above it may run for a minute.
            assertThat(mCluster.ack("suva")).isEqualTo(1);
        }

        private JsonNode team() throws Exception {
            return Json.mapper()
                    .readTree(
                            """
                            {"services": {"shop": {"maxRequestMillis": 60000, "rampMillis": 0,
                               "longSlotsPercent": 66, "zones": {"suva": {"weight": 1}}}},
                             "caps": {"shop": {"service": "shop", "from": "any", "to": "any",
                               "inFlight": 5}}}
                            """);
        }
    }

    private static SettingsTree apply(SettingsTree tree, SettingsChange change) {
        SettingsReplica order = SettingsReplica.create(2);
        order.accept(tree);
        assertThat(order.accept(change)).isInstanceOf(SettingsReplica.Result.Applied.class);
        return order.tree();
    }
}
