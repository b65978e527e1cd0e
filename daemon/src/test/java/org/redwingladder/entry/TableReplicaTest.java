package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TableReplicaTest {
    private final TableReplica mReplica = new TableReplica();

    private static StoreRow row(String key, long version) {
        return new StoreRow(key, version, new byte[] {1});
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
            assertThat(mReplica.replace(List.of(row("a", 5)), 9, 9)).isTrue();
            assertThat(mReplica.replace(List.of(), 8, 8)).isFalse();
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
            mReplica.replace(List.of(row("a", 5)), 5, 5);
            mReplica.apply(List.of(removed("a", 7)), 7);
            mReplica.apply(List.of(row("a", 6)), 6);
            assertThat(mReplica.rows()).isEmpty();
            assertThat(mReplica.position()).isEqualTo(7);
        }

        /** Guards against a lost change after an idle period of the table. */
        @Test
        void advancesPositionWithoutChanges() {
            mReplica.replace(List.of(), 5, 5);
            mReplica.apply(List.of(), 50);
            assertThat(mReplica.position()).isEqualTo(50);
            assertThat(mReplica.lastChange()).isEqualTo(5);
        }
    }
}
