package org.redwingladder.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.LongNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SettingsReplicaTest {
    private static SettingsReplica atVersion(long version) {
        SettingsReplica replica = SettingsReplica.create(100);
        replica.accept(TestSettings.tree(version));
        return replica;
    }

    private static long rateOf(SettingsReplica replica) {
        return replica.history()
                .lastEntry()
                .getValue()
                .caps()
                .get("checkout-any")
                .requestsPerSecond();
    }

    @Nested
    class TreeChanges {
        /** Guards against a team that modifies another team's subtree. */
        @Test
        void rejectsPathOfAnotherTeam() {
            SettingsChange change =
                    new SettingsChange(2, "c", "press", "/teams/store/caps", null, "ana", 0);

            assertThatThrownBy(() -> TestSettings.tree(1).apply(change))
                    .isInstanceOf(SettingsException.class)
                    .hasMessageContaining("team press does not own this path");
        }

        /** Guards against paths that no team owns or whose parent does not exist. */
        @Test
        void rejectsPathsOutsideSubtrees() {
            for (String path : List.of("", "/", "/teams", "x", "/teams/store/a/b/c")) {
                SettingsChange change = new SettingsChange(2, "c", "store", path, null, "ana", 0);
                assertThatThrownBy(() -> TestSettings.tree(1).apply(change))
                        .as(path)
                        .isInstanceOf(SettingsException.class);
            }
        }

        /** Guards against an in-place update, and against a subtree version that is not updated. */
        @Test
        void leavesOriginalTreeUnchanged() throws Exception {
            SettingsTree old = TestSettings.tree(1);
            SettingsTree changed = old.apply(TestSettings.rateChange(2, 7));

            assertThat(old).isEqualTo(TestSettings.tree(1));
            assertThat(changed.subtreeVersion("store")).isEqualTo(2);
            assertThat(changed.subtreeVersion("deployment")).isEqualTo(1);
            assertThat(changed.valueAt("/teams/store/caps/checkout-any/requestsPerSecond"))
                    .hasToString("7");
        }
    }

    @Nested
    class Ordering {
        /** Guards against a delayed or duplicate change that reverts the version. */
        @Test
        void ignoresStaleChangesAndSnapshots() {
            SettingsReplica replica = atVersion(5);
            replica.accept(TestSettings.rateChange(6, 60));

            assertThat(replica.accept(TestSettings.rateChange(6, 66)))
                    .isEqualTo(new SettingsReplica.Result.Stale());
            assertThat(replica.accept(TestSettings.tree(5)))
                    .isEqualTo(new SettingsReplica.Result.Stale());
            assertThat(rateOf(replica)).isEqualTo(60);
        }

        /** Guards against a change that is applied although earlier ones are missing. */
        @Test
        void reportsGapOfMissingChanges() {
            SettingsReplica replica = atVersion(5);

            assertThat(replica.accept(TestSettings.rateChange(8, 80)))
                    .isEqualTo(new SettingsReplica.Result.Gap(5, 8));
            assertThat(replica.version()).isEqualTo(5);
        }

        /** Guards against a peer's change that would make the document invalid. */
        @Test
        void rejectsChangeToInvalidDocument() {
            SettingsReplica replica = atVersion(5);

            assertThat(replica.accept(TestSettings.rateChange(6, -1)))
                    .isInstanceOf(SettingsReplica.Result.Rejected.class);
            assertThat(replica.version()).isEqualTo(5);
        }

        /** Guards against replicating a sequence of changes with a gap. */
        @Test
        void returnsOnlyContiguousChanges() {
            SettingsReplica replica = SettingsReplica.create(3);
            replica.accept(TestSettings.tree(1));
            for (long v = 2; v <= 6; v++) {
                replica.accept(TestSettings.rateChange(v, v));
            }

            assertThat(replica.changesAfter(1)).isEmpty();
            assertThat(replica.changesAfter(4))
                    .extracting(SettingsChange::version)
                    .containsExactly(5L, 6L);
            assertThat(replica.history()).containsOnlyKeys(4L, 5L, 6L);
        }
    }

    @Nested
    class History {
        /** Guards against a history that grows with changes that do not affect quotas. */
        @Test
        void retainsOnlyVersionsThatChangeQuotas() {
            SettingsReplica replica = atVersion(1);
            for (long v = 2; v <= 5; v++) {
                replica.accept(
                        new SettingsChange(
                                v,
                                "c" + v,
                                "store",
                                "/teams/store/backendServers/checkout-1/slots",
                                LongNode.valueOf(v),
                                "ana",
                                0));
            }
            replica.accept(TestSettings.rateChange(6, 60));
            replica.accept(TestSettings.rateChange(7, 70));
            assertThat(replica.history()).containsOnlyKeys(1L, 6L, 7L);
            replica.trimHistoryBefore(3);
            assertThat(replica.history()).containsOnlyKeys(1L, 6L, 7L);
            replica.trimHistoryBefore(6);
            assertThat(replica.history()).containsOnlyKeys(6L, 7L);
        }

        /** Guards against a host without quotas because it started from a snapshot. */
        @Test
        void backfillRestoresVersionsBeforeSnapshot() throws Exception {
            SettingsReplica whole = atVersion(1);
            List<SettingsChange> changes = new ArrayList<>();
            for (long v = 2; v <= 6; v++) {
                SettingsChange rate = TestSettings.rateChange(v, v < 4 ? 40 : 10 * v);
                SettingsChange change =
                        new SettingsChange(
                                v,
                                rate.changeId(),
                                rate.team(),
                                rate.path(),
                                rate.value(),
                                rate.author(),
                                0,
                                whole.tree().valueAt(rate.path()));
                whole.accept(change);
                changes.add(change);
            }
            SettingsReplica restarted = SettingsReplica.create(100);
            restarted.accept(whole.tree());

            assertThat(restarted.backfillHistory(changes)).isTrue();
            assertThat(restarted.oldestVersion()).isEqualTo(1);
            assertThat(restarted.version()).isEqualTo(6);
            for (long v = 1; v <= 6; v++) {
                assertThat(restarted.history().floorEntry(v).getValue().caps())
                        .isEqualTo(whole.history().floorEntry(v).getValue().caps());
            }
            assertThat(restarted.backfillHistory(changes)).isFalse();
        }

        /** Guards against errors that incremental validation misses. */
        @Test
        void incrementalValidationFindsSameErrors() throws Exception {
            SettingsTree valid = TestSettings.tree(1);
            valid.settings();
            for (String value : List.of("{\"x\":1}", "{\"services\":{}}", "7")) {
                SettingsChange change =
                        new SettingsChange(
                                2,
                                "c",
                                "store",
                                "/teams/store",
                                TestSettings.parse("{\"v\":" + value + "}").get("v"),
                                "ana",
                                0);
                SettingsTree next = valid.apply(change);
                assertThat(next.validate()).isEqualTo(SettingsValidator.validate(next.document()));
            }
        }

        /** Guards against subtree sharing that alters the settings. */
        @Test
        void subtreeSharingYieldsSameSettings() throws Exception {
            SettingsReplica replica = atVersion(1);
            replica.accept(TestSettings.rateChange(2, 60));
            replica.accept(TestSettings.rateChange(3, 70));

            assertThat(replica.tree().settings())
                    .isEqualTo(SettingsCodec.read(replica.tree().document()));
            assertThat(replica.history().get(3L).deployment())
                    .isSameAs(replica.history().get(2L).deployment());
        }
    }

    /** Guards against a delivery order that lowers the version or leads to another document. */
    @Property(tries = 100, seed = "42")
    void replicaConvergesUnderAnyDeliveryOrder(@ForAll long seed) {
        Random random = new Random(seed);
        List<SettingsChange> all = new ArrayList<>();
        for (long v = 2; v <= 12; v++) {
            all.add(TestSettings.rateChange(v, v * 10));
        }
        SettingsReplica replica = atVersion(1);
        LastDelivery naive = new LastDelivery();
        long last = 1;
        boolean naiveReverted = false;
        long naiveLast = 1;
        while (replica.version() < 12) {
            List<SettingsChange> delivery = new ArrayList<>(all);
            Collections.shuffle(delivery, random);
            for (SettingsChange change : delivery) {
                replica.accept(change);
                naive.accept(change);
                assertThat(replica.version()).isGreaterThanOrEqualTo(last);
                assertThat(rateOf(replica))
                        .isEqualTo(replica.version() == 1 ? 100 : replica.version() * 10);
                last = replica.version();
                naiveReverted |= naive.mVersion < naiveLast;
                naiveLast = naive.mVersion;
            }
        }
        assertThat(naiveReverted).as("last delivery wins reverts the version").isTrue();
    }

    /** Adopts the last delivered version, as a client polling a lagging source would. */
    private static final class LastDelivery {
        private long mVersion = 1;

        void accept(SettingsChange change) {
            mVersion = change.version();
        }
    }
}
