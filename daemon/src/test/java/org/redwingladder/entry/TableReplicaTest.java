package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TableReplicaTest {
    private final TableReplica mReplica = new TableReplica();

    private static StoreVersion at(long number) {
        return new StoreVersion(1, number);
    }

    private static StoreRow row(String key, long version) {
        return new StoreRow(key, version, new byte[] {1});
    }

    private static StoreVersion at(long era, long number) {
        return new StoreVersion(era, number);
    }

    private static StoreRow row(String key, long version, int value) {
        return new StoreRow(key, version, new byte[] {(byte) value});
    }

    private static StoreRow removed(String key, long version) {
        return new StoreRow(key, version, none());
    }

    private static byte @Nullable [] none() {
        return null;
    }

    @Nested
    class Replace {
        /** Guards against replacing newer state by a stale snapshot of the store or a peer. */
        @Test
        void rejectsOlderSnapshot() {
            assertThat(mReplica.replace(List.of(row("a", 5)), at(9), at(9))).isTrue();
            assertThat(mReplica.replace(List.of(), at(8), at(8))).isFalse();
            assertThat(mReplica.rows()).hasSize(1);
        }
    }

    @Nested
    class Apply {
        /**
         * Guards against resurrecting a deleted row by changes that the replica already contains.
         */
        @Test
        void skipsOlderChanges() {
            mReplica.replace(List.of(row("a", 5)), at(5), at(5));
            mReplica.apply(List.of(removed("a", 7)), at(7));
            mReplica.apply(List.of(row("a", 6)), at(6));
            assertThat(mReplica.rows()).isEmpty();
            assertThat(mReplica.position()).isEqualTo(at(7));
        }

        /** Guards against a lost change after an idle period of the table. */
        @Test
        void advancesPositionWithoutChanges() {
            mReplica.replace(List.of(), at(5), at(5));
            mReplica.apply(List.of(), at(50));
            assertThat(mReplica.position()).isEqualTo(at(50));
            assertThat(mReplica.lastChange()).isEqualTo(at(5));
        }
    }

    /** Versions go back and are given out again when a store returns from an older copy. */
    @Nested
    class Eras {
        @Test
        void laterOneReplacesHigherVersions() {
            mReplica.replace(List.of(row("a", 5)), at(1, 900), at(1, 900));
            assertThat(mReplica.replace(List.of(row("b", 4)), at(2, 30), at(2, 30))).isTrue();
            assertThat(mReplica.rows()).extracting(StoreRow::key).containsExactly("b");
            assertThat(mReplica.replace(List.of(row("a", 5)), at(1, 901), at(1, 901))).isFalse();
            assertThat(mReplica.lastChange()).isEqualTo(at(2, 30));
        }

        @Test
        void differInRowsWhoseVersionsWentBackOrWereGivenOutAgain() {
            mReplica.replace(
                    List.of(row("back", 90, 1), row("again", 40, 1), row("kept", 20, 1)),
                    at(1, 90),
                    at(1, 90));
            assertThat(
                            mReplica.diff(
                                    List.of(
                                            row("back", 10, 1),
                                            row("again", 40, 2),
                                            row("kept", 20, 1)),
                                    at(2, 45)))
                    .extracting(StoreRow::key)
                    .containsExactly("back", "again");
        }

        @Test
        void areCrossedOnlyFromThePositionOfTheDifference() {
            mReplica.replace(List.of(row("a", 5)), at(1, 900), at(1, 900));
            assertThat(mReplica.relationOf(at(1, 900), at(2, 30), false))
                    .isEqualTo(TableReplica.Relation.APPLICABLE);
            assertThat(mReplica.relationOf(at(1, 899), at(2, 30), false))
                    .isEqualTo(TableReplica.Relation.GAP);
            assertThat(mReplica.relationOf(at(2, 20), at(2, 30), false))
                    .isEqualTo(TableReplica.Relation.GAP);
            assertThat(mReplica.relationOf(at(0, 900), at(0, 950), false))
                    .isEqualTo(TableReplica.Relation.CONTAINED);
        }

        /** It lacks the deletion of a row that a host got in between. */
        @Test
        void areNoReasonToApplyADifferenceElsewhere() {
            mReplica.replace(List.of(row("a", 5)), at(1, 10), at(1, 10));
            assertThat(mReplica.relationOf(at(1, 9), at(1, 12), true))
                    .isEqualTo(TableReplica.Relation.GAP);
            assertThat(mReplica.relationOf(at(1, 10), at(1, 12), true))
                    .isEqualTo(TableReplica.Relation.APPLICABLE);
            assertThat(mReplica.relationOf(at(1, 9), at(1, 12), false))
                    .isEqualTo(TableReplica.Relation.APPLICABLE);
        }

        @Test
        void doNotSkipTheRowsOfADifferenceForTheirLowVersions() {
            mReplica.replace(List.of(row("a", 5)), at(1, 900), at(1, 900));
            mReplica.apply(List.of(row("a", 12, 2), removed("b", 30)), at(2, 30));
            assertThat(mReplica.rows()).extracting(StoreRow::version).containsExactly(12L);
            assertThat(mReplica.position()).isEqualTo(at(2, 30));
        }
    }
}
