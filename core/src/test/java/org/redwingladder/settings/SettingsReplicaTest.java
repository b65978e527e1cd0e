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
        SettingsReplica order = SettingsReplica.create(100);
        order.accept(TestSettings.tree(version));
        return order;
    }

    private static long rateOf(SettingsReplica order) {
        return order.history()
                .lastEntry()
                .getValue()
                .caps()
                .get("checkout-any")
                .requestsPerSecond();
    }

    @Nested
    class Tree {
        /** Guards against a team that changes another team's subtree. */
        @Test
        void refusesForeignPath() {
            SettingsChange change = new SettingsChange(2, "c", "press", "/teams/store/caps", null, "ana", 0);

            assertThatThrownBy(() -> TestSettings.tree(1).apply(change))
                    .isInstanceOf(SettingsException.class)
                    .hasMessageContaining("team press does not own this path");
        }

        /** Guards against paths that no team owns, or whose parent is absent. */
        @Test
        void refusesPathsOutsideSubtrees() {
            for (String path : List.of("", "/", "/teams", "x", "/teams/store/a/b/c")) {
                SettingsChange change = new SettingsChange(2, "c", "store", path, null, "ana", 0);
                assertThatThrownBy(() -> TestSettings.tree(1).apply(change))
                        .as(path)
                        .isInstanceOf(SettingsException.class);
            }
        }

        /** Guards against an update in place, and against a subtree version that stands still. */
        @Test
        void leavesTheOldTreeAsItWas() throws Exception {
            SettingsTree old = TestSettings.tree(1);
            SettingsTree changed = old.apply(TestSettings.rate(2, 7));

            assertThat(old).isEqualTo(TestSettings.tree(1));
            assertThat(changed.subtreeVersion("store")).isEqualTo(2);
            assertThat(changed.subtreeVersion("deployment")).isEqualTo(1);
            assertThat(changed.valueAt("/teams/store/caps/checkout-any/requestsPerSecond"))
                    .hasToString("7");
        }
    }

    @Nested
    class Order {
        /** Guards against a late or repeated change that takes the version back. */
        @Test
        void ignoresOldChangesAndSnapshots() {
            SettingsReplica order = atVersion(5);
            order.accept(TestSettings.rate(6, 60));

            assertThat(order.accept(TestSettings.rate(6, 66)))
                    .isEqualTo(new SettingsReplica.Result.Stale());
            assertThat(order.accept(TestSettings.tree(5)))
                    .isEqualTo(new SettingsReplica.Result.Stale());
            assertThat(rateOf(order)).isEqualTo(60);
        }

        /** Guards against a change applied over a gap. */
        @Test
        void reportsGap() {
            SettingsReplica order = atVersion(5);

            assertThat(order.accept(TestSettings.rate(8, 80)))
                    .isEqualTo(new SettingsReplica.Result.Gap(5, 8));
            assertThat(order.version()).isEqualTo(5);
        }

        /** Guards against a peer's changes that make the document invalid. */
        @Test
        void keepsTheVersionWhenTheDocumentWouldBeInvalid() {
            SettingsReplica order = atVersion(5);

            assertThat(order.accept(TestSettings.rate(6, -1)))
                    .isInstanceOf(SettingsReplica.Result.Rejected.class);
            assertThat(order.version()).isEqualTo(5);
        }

        /** Guards against handing on a list of changes with a hole in it. */
        @Test
        void handsOnOnlyCompleteSequences() {
            SettingsReplica order = SettingsReplica.create(3);
            order.accept(TestSettings.tree(1));
            for (long v = 2; v <= 6; v++) {
                order.accept(TestSettings.rate(v, v));
            }

            assertThat(order.changesAfter(1)).isEmpty();
            assertThat(order.changesAfter(4)).extracting(SettingsChange::version).containsExactly(5L, 6L);
            assertThat(order.history()).containsOnlyKeys(4L, 5L, 6L);
        }
    }

    @Nested
    class History {
        /** Guards against memory that grows with changes that do not concern caps. */
        @Test
        void keepsOnlyVersionsThatMatterForCaps() {
            SettingsReplica order = atVersion(1);
            for (long v = 2; v <= 5; v++) {
                order.accept(
                        new SettingsChange(
                                v,
                                "c" + v,
                                "store",
                                "/teams/store/backendServers/checkout-1/slots",
                                LongNode.valueOf(v),
                                "ana",
                                0));
            }
            order.accept(TestSettings.rate(6, 60));
            order.accept(TestSettings.rate(7, 70));
            assertThat(order.history()).containsOnlyKeys(1L, 6L, 7L);
            order.trimHistoryBefore(3);
            assertThat(order.history()).containsOnlyKeys(1L, 6L, 7L);
            order.trimHistoryBefore(6);
            assertThat(order.history()).containsOnlyKeys(6L, 7L);
        }

        /** Guards against a host that starts with a snapshot and has no parts of caps for long. */
        @Test
        void changesLeadBackFromASnapshot() throws Exception {
            SettingsReplica whole = atVersion(1);
            List<SettingsChange> changes = new ArrayList<>();
            for (long v = 2; v <= 6; v++) {
                SettingsChange rate = TestSettings.rate(v, v < 4 ? 40 : 10 * v);
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
            SettingsReplica started = SettingsReplica.create(100);
            started.accept(whole.tree());

            assertThat(started.backfillHistory(changes)).isTrue();
            assertThat(started.oldestVersion()).isEqualTo(1);
            assertThat(started.version()).isEqualTo(6);
            for (long v = 1; v <= 6; v++) {
                assertThat(started.history().floorEntry(v).getValue().caps())
                        .isEqualTo(whole.history().floorEntry(v).getValue().caps());
            }
            assertThat(started.backfillHistory(changes)).isFalse();
        }

        /** Guards against faults that are overlooked because most of the document is known. */
        @Test
        void sharingOverlooksNoFault() throws Exception {
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

        /** Guards against settings that differ from those of the whole document. */
        @Test
        void sharingLeavesTheSettingsAsTheyAre() throws Exception {
            SettingsReplica order = atVersion(1);
            order.accept(TestSettings.rate(2, 60));
            order.accept(TestSettings.rate(3, 70));

            assertThat(order.tree().settings())
                    .isEqualTo(SettingsCodec.read(order.tree().document()));
            assertThat(order.history().get(3L).deployment())
                    .isSameAs(order.history().get(2L).deployment());
        }
    }

    /** Guards against any order of delivery that lowers the version or ends at another document. */
    @Property(tries = 100, seed = "42")
    void anyDeliveryEndsAtTheSameDocument(@ForAll long seed) {
        Random random = new Random(seed);
        List<SettingsChange> all = new ArrayList<>();
        for (long v = 2; v <= 12; v++) {
            all.add(TestSettings.rate(v, v * 10));
        }
        SettingsReplica order = atVersion(1);
        NewestOffer naive = new NewestOffer();
        long last = 1;
        boolean naiveFell = false;
        long naiveLast = 1;
        while (order.version() < 12) {
            List<SettingsChange> delivery = new ArrayList<>(all);
            Collections.shuffle(delivery, random);
            for (SettingsChange change : delivery) {
                order.accept(change);
                naive.accept(change);
                assertThat(order.version()).isGreaterThanOrEqualTo(last);
                assertThat(rateOf(order))
                        .isEqualTo(order.version() == 1 ? 100 : order.version() * 10);
                last = order.version();
                naiveFell |= naive.mVersion < naiveLast;
                naiveLast = naive.mVersion;
            }
        }
        assertThat(naiveFell).as("the naive version goes back").isTrue();
    }

    /** Takes whatever comes last, as a poll of a lagging source would. */
    private static final class NewestOffer {
        private long mVersion = 1;

        void accept(SettingsChange change) {
            mVersion = change.version();
        }
    }
}
