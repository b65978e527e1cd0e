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

/** Guarantee 8: accepted settings become active on every host and are never reverted. */
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
        mCluster.writeRoster("suva", 0, mFirst, mSecond);
        assertThat(mFirst.put("/deployment", TestSettingsCluster.deployment(1001), 0, "c1"))
                .isEqualTo(new Outcome.Accepted(1));
        until("both are active", () -> mFirst.activeVersion() == 1 && mSecond.activeVersion() == 1);
    }

    @AfterEach
    void stop() {
        mCluster.close();
    }

    private Outcome lifetime(TestSettingsCluster.Host host, long millis, long subtree, String id) {
        return host.put(LIFETIME, LongNode.valueOf(millis), subtree, id);
    }

    /** Returns the version that {@code host} knows after a heartbeat of the first host. */
    private long versionAfterHeartbeat(TestSettingsCluster.Host host) {
        TestSettingsCluster.heartbeat(mFirst, host);
        return host.mReplicator.tree().join().version();
    }

    private long changeCount() {
        return mCluster.mPlatform.table().rows("settings/change/", 0, 1000).size();
    }

    @Nested
    class Propagation {
        /** Guards against a change that never reaches a zone without access to the platform. */
        @Test
        void changeReachesZonePartitionedFromPlatform() throws Exception {
            TestSettingsCluster.Host remote = mCluster.start("h3", 1, "nadi", 1);
            mCluster.writeRoster("nadi", 0, remote);
            until("the zone has active settings", () -> remote.activeVersion() == 1);
            mCluster.mPlatform.inject(
                    PlatformFaults.NONE.withRefuseFrom(
                            List.of(mCluster.mPlatform.addresses().get(1))));

            assertThat(lifetime(mFirst, 1002, 1, "c2")).isEqualTo(new Outcome.Accepted(2));

            until(
                    "all are active",
                    () ->
                            remote.lookupLifetimeMillis() == 1002
                                    && mSecond.lookupLifetimeMillis() == 1002);
        }

        /** Guards against a member that misses a push and keeps the old version. */
        @Test
        void memberThatMissedThePushPullsAfterHeartbeat() throws Exception {
            TestSettingsCluster.Host third = mCluster.start("h3", 1, "suva", 0);
            until("version known", () -> third.mReplicator.tree().join().version() == 1);
            // Stops the periodic task, so that the host does not poll or pull on its own.
            third.mReplicator.stop();
            lifetime(mFirst, 1002, 1, "c2");

            until("the member has pulled the change", () -> versionAfterHeartbeat(third) == 2);
        }
    }

    @Nested
    class StaleRead {
        /** Guards against a restarted host that activates a version below the roster's floor. */
        @Test
        void restartedHostNeverActivatesVersionBelowFloor() throws Exception {
            mCluster.mPlatform.inject(PlatformFaults.NONE.withStaleReads(true));
            assertThat(lifetime(mFirst, 1002, 1, "c2")).isEqualTo(new Outcome.Accepted(2));
            until(
                    "both are active",
                    () -> mFirst.activeVersion() == 2 && mSecond.activeVersion() == 2);
            TestSettingsCluster.Host restarted = mCluster.start("h2", 2, "suva", 0);
            mCluster.writeRoster("suva", 2, mFirst, restarted);

            // A host that activated its first read would use the old version.
            assertThat(restarted.mStore.snapshot().join().version()).isEqualTo(1);

            until("the host has active settings", () -> restarted.activeVersion() > 0);
            assertThat(restarted.mActiveVersions).containsOnly(2L);
        }

        /**
         * Guards against a put that is based on a stale document and reverts an accepted change.
         */
        @Test
        void putOnStaleHeadIsNotCommitted() {
            mCluster.mPlatform.inject(PlatformFaults.NONE.withStaleReads(true));
            lifetime(mFirst, 1002, 1, "c2");
            until("the change is active on h1", () -> mFirst.activeVersion() == 2);

            assertThat(lifetime(mFirst, 1003, 1, "c3")).isInstanceOf(Outcome.NotRun.class);
            assertThat(changeCount()).isEqualTo(2);
        }
    }

    @Nested
    class RejoiningPeer {
        /** Guards against a host that was partitioned and reverts others to its older version. */
        @Test
        void stalePushDoesNotRevertNewerVersion() {
            SettingsMessage old = mSecond.mReplicator.handlePull(0).join();
            lifetime(mFirst, 1002, 1, "c2");
            until("the change is active on h1", () -> mFirst.activeVersion() == 2);

            SettingsMessage answer = mFirst.mReplicator.handlePush(old).join();

            assertThat(answer.version()).isEqualTo(2);
            assertThat(mFirst.mActiveVersions).isSorted();
            assertThat(mFirst.lookupLifetimeMillis()).isEqualTo(1002);
            // A receiver that adopted any pushed snapshot would revert to the older version.
            SettingsTree adopted = old.snapshot() == null ? null : old.snapshot().tree();
            assertThat(adopted == null ? 1 : adopted.version()).isLessThan(mFirst.activeVersion());
        }
    }

    @Nested
    class LostCommitResponse {
        /** Guards against a change that is committed twice, or reported as failed. */
        @Test
        void changeIsCommittedOnceAndReadBack() {
            mCluster.mPlatform.inject(PlatformFaults.NONE.withLostAnswers(-1));
            Outcome outcome = lifetime(mFirst, 1002, 1, "c2");
            mCluster.mPlatform.inject(PlatformFaults.NONE);

            assertThat(outcome).isEqualTo(new Outcome.Accepted(2));
            assertThat(lifetime(mSecond, 1002, 1, "c2")).isEqualTo(new Outcome.Accepted(2));
            assertThat(changeCount()).isEqualTo(2);
        }

        /** Checks that the fixture detects retries without idempotency: both are committed. */
        @Test
        void retryUnderNewChangeIdCommitsTwice() {
            for (int attempt = 0; attempt < 2; attempt++) {
                SettingsStore.Head head = mFirst.mStore.head().join();
                SettingsTree tree = mFirst.mReplicator.catchUp(head).join();
                SettingsChange change =
                        new SettingsChange(
                                head.version() + 1,
                                "retry" + attempt,
                                "deployment",
                                LIFETIME,
                                LongNode.valueOf(1002),
                                "ana",
                                1);
                long row = mFirst.mStore.subtreeRowVersion("deployment").join();
                SettingsTree next = apply(tree, change);
                mFirst.mStore.commit("t" + attempt, head, row, change, next).join();
            }
            assertThat(changeCount()).isEqualTo(3);
        }

        /** Guards against "not accepted" for a change that a delayed put commits later. */
        @Test
        void changeReportedAsNotAcceptedIsNeverCommitted() throws Exception {
            assertThat(changeState("late").path("state").asText()).isEqualTo("not-accepted");

            assertThat(lifetime(mFirst, 1002, 1, "late"))
                    .isInstanceOf(Outcome.ChangeIdRevoked.class);
            assertThat(changeState("c1").path("version").asLong()).isEqualTo(1);
            assertThat(mFirst.activeVersion()).isEqualTo(1);
        }

        private JsonNode changeState(String id) throws Exception {
            URI uri = URI.create("http://" + mFirst.address() + "/v1/settings/changes/" + id);
            try (var in = uri.toURL().openStream()) {
                return Json.mapper().readTree(in);
            }
        }
    }

    @Nested
    class ConcurrentPuts {
        /** Guards against two conflicting puts that are both reported as accepted. */
        @Test
        void exactlyOneIsAcceptedAndTheOtherReceivesTheWinner() {
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
                assertThat(changeCount()).isEqualTo(round + 1);
            }
        }

        /** Checks that the fixture detects writes without version checks: both are committed. */
        @Test
        void writesWithoutVersionChecksOverwriteEachOther() {
            Set<String> accepted = new HashSet<>();
            SettingsStore.Head head = mFirst.mStore.head().join();
            for (String id : List.of("a", "b")) {
                Transaction unchecked =
                        Transaction.of(id)
                                .put("settings/change/2", LongNode.valueOf(2))
                                .put(
                                        SettingsStore.HEAD_KEY,
                                        Json.mapper()
                                                .createObjectNode()
                                                .put("version", head.version() + 1));
                if (mFirst.mStore.commit(unchecked).join() instanceof TransactionResult.Committed) {
                    accepted.add(id);
                }
            }
            assertThat(accepted).hasSize(2);
            assertThat(changeCount()).isEqualTo(2);
        }

        /** Guards against a put that conflicts with a concurrent put of another team. */
        @Test
        void putsOfDifferentTeamsDoNotConflict() {
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
            CompletableFuture<Outcome> other = SettingsPut.run(mSecond.mReplicator, store);

            assertThat(lifetime(mFirst, 1002, 1, "c2")).isInstanceOf(Outcome.Accepted.class);
            assertThat(other.join()).isInstanceOf(Outcome.Accepted.class);
            assertThat(changeCount()).isEqualTo(3);
        }
    }

    @Nested
    class MissingChange {
        /** Guards against a change that is applied although the one before it is missing. */
        @Test
        void isPulledBeforeLaterChangesAreApplied() throws Exception {
            TestSettingsCluster.Host isolated = mCluster.start("h3", 1, "suva", 0);
            until("version known", () -> isolated.mReplicator.tree().join().version() == 1);
            isolated.mReplicator.stop();
            lifetime(mFirst, 1002, 1, "c2");
            mFirst.put("/deployment/blockCount", LongNode.valueOf(10), 2, "c3");
            List<SettingsChange> all = mFirst.mStore.changes(0, 3).join();
            SettingsMessage onlyLast =
                    new SettingsMessage("h1", 1, 3, 3, List.of(all.get(2)), null, null);

            assertThat(isolated.mReplicator.handlePush(onlyLast).join().version()).isEqualTo(1);

            until("the host has all changes", () -> versionAfterHeartbeat(isolated) == 3);
            assertThat(isolated.mReplicator.tree().join().valueAt(LIFETIME)).hasToString("1002");
            // A host that applied the last change over the gap would keep the old lifetime.
            SettingsTree withGap =
                    SettingsTree.of(
                            2,
                            Map.of("deployment", TestSettingsCluster.deployment(1001)),
                            Map.of("deployment", 2L));
            assertThat(apply(withGap, all.get(2)).valueAt(LIFETIME)).hasToString("1001");
        }
    }

    @Nested
    class RejectedPuts {
        /** Guards against invalid documents and unauthorized changes that reach the table. */
        @Test
        void areNotWritten() {
            assertThat(lifetime(mFirst, -5, 1, "bad")).isInstanceOf(Outcome.Invalid.class);
            SettingsPut.Request wrongKey =
                    new SettingsPut.Request(
                            LIFETIME, LongNode.valueOf(1), 1, "k", "deployment", "no", "ana", 1);
            assertThat(SettingsPut.run(mFirst.mReplicator, wrongKey).join())
                    .isInstanceOf(Outcome.Forbidden.class);
            SettingsPut.Request wrongTeam =
                    new SettingsPut.Request(
                            LIFETIME, LongNode.valueOf(1500), 0, "t", "store", "key", "ana", 1);
            assertThat(SettingsPut.run(mFirst.mReplicator, wrongTeam).join())
                    .isInstanceOf(Outcome.Invalid.class);
            assertThat(changeCount()).isEqualTo(1);
        }
    }

    @Nested
    class Acknowledgements {
        /** Guards against an acknowledgement while an older version is active on a member. */
        @Test
        void waitForEveryMemberAndTheFloor() throws Exception {
            TestSettingsCluster.Host third = mCluster.start("h3", 1, "suva", 0);
            // Is of another zone, so that it is a member without ever having an active version.
            TestSettingsCluster.Host inactive = mCluster.start("h4", 1, "nadi", 0);
            mCluster.writeRoster("suva", 1, mFirst, mSecond, third, inactive);
            lifetime(mFirst, 1002, 1, "c2");
            until(
                    "three are active",
                    () -> third.activeVersion() == 2 && mSecond.activeVersion() == 2);
            // A coordinator polls and evaluates the acknowledgement in the same run.
            long before = mFirst.pollCount();
            until("coordinator ran", () -> mFirst.pollCount() >= before + 3);
            assertThat(mCluster.ackedVersion("suva")).isEqualTo(1);

            mCluster.writeRoster("suva", 2, mFirst, mSecond, third);
            until("acknowledged", () -> mCluster.ackedVersion("suva") == 2);
        }
    }

    @Nested
    class LaggingZone {
        /** Guards against a new owner whose cap quotas are 0 while another zone lags. */
        @Test
        void joiningHostBackfillsVersionsActiveInLaggingZone() throws Exception {
            TestSettingsCluster.Host remote = mCluster.start("h3", 1, "nadi", 0);
            mCluster.writeRoster("nadi", 0, remote);
            until("the zone has acknowledged", () -> mCluster.ackedVersion("nadi") == 1);
            remote.mReplicator.stop();
            lifetime(mFirst, 1002, 1, "c2");
            lifetime(mFirst, 1003, 2, "c3");
            TestSettingsCluster.Host joining = mCluster.start("h4", 1, "suva", 0);
            mCluster.writeRoster("suva", 1, mFirst, mSecond, joining);

            until("the host has active settings", () -> joining.activeVersion() == 3);
            until("history backfilled", () -> joining.mOldestRetained == 1);
        }

        /** Guards against a higher cap elsewhere while requests above the lowered cap still run. */
        @Test
        void loweredInFlightCapIsNotAcknowledgedWhileOlderRequestsMayRun() throws Exception {
            SettingsPut.Request store =
                    new SettingsPut.Request(
                            "/teams/store", team(), 0, "s1", "store", "key", "ana", 1);
            SettingsPut.run(mFirst.mReplicator, store).join();
            until(
                    "both are active",
                    () -> mFirst.activeVersion() == 2 && mSecond.activeVersion() == 2);
            long before = mFirst.pollCount();
            mCluster.writeRoster("suva", 2, mFirst, mSecond);
            until("coordinator ran", () -> mFirst.pollCount() >= before + 3);

            // The cap is new, so requests that were admitted without it may run for a minute.
            assertThat(mCluster.ackedVersion("suva")).isEqualTo(1);
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
        SettingsReplica replica = SettingsReplica.create(2);
        replica.accept(tree);
        assertThat(replica.accept(change)).isInstanceOf(SettingsReplica.Result.Applied.class);
        return replica.tree();
    }
}
