package org.redwingladder.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConnectionTableTest {
    private static final long SECOND = 1_000_000_000L;
    private static final ConnectionPhase WORKING = new ConnectionPhase.Working();
    private static final ConnectionPhase IDLE = new ConnectionPhase.Idle();

    private final ConnectionTable<String> mTable = ConnectionTable.ofLimit(3);

    private static ConnectionPhase receiving(long startNanos) {
        return new ConnectionPhase.Receiving(startNanos);
    }

    private void fill(ConnectionPhase first, ConnectionPhase second, ConnectionPhase third) {
        for (String connection : new String[] {"a", "b", "c"}) {
            assertThat(mTable.add(connection, 0)).isNull();
        }
        mTable.enter("a", first);
        mTable.enter("b", second);
        mTable.enter("c", third);
    }

    @Nested
    class Limit {
        @Test
        void replacesTheOldestConnectionWithoutARequest() {
            fill(IDLE, new ConnectionPhase.Unused(), new ConnectionPhase.Unused());
            assertThat(mTable.add("d", SECOND)).isEqualTo("b");
            assertThat(mTable.add("e", SECOND)).isEqualTo("c");
            assertThat(mTable.size()).isEqualTo(3);
        }

        @Test
        void replacesABodyThatDoesNotArriveBeforeAnIdleConnection() {
            fill(IDLE, receiving(0), WORKING);
            assertThat(mTable.add("d", 3 * SECOND)).isEqualTo("b");
        }

        /** A client that sends its body at once must not lose its connection to a new one. */
        @Test
        void keepsABodyThatHasJustBegunToArrive() {
            fill(IDLE, receiving(SECOND), WORKING);
            assertThat(mTable.add("d", 2 * SECOND)).isEqualTo("a");
        }

        @Test
        void replacesTheConnectionThatHasBeenIdleForLongest() {
            fill(IDLE, IDLE, IDLE);
            mTable.enter("a", WORKING);
            mTable.enter("a", IDLE);
            assertThat(mTable.add("d", SECOND)).isEqualTo("b");
        }

        @Test
        void rejectsTheNewConnectionIfAllOthersAreBeingServed() {
            fill(WORKING, new ConnectionPhase.Sending(), WORKING);
            assertThat(mTable.add("d", SECOND)).isEqualTo("d");
            assertThat(mTable.size()).isEqualTo(3);
        }

        @Test
        void admitsAConnectionForEachOneThatWasClosed() {
            fill(WORKING, WORKING, WORKING);
            mTable.remove("b");
            mTable.enter("b", IDLE);
            assertThat(mTable.add("d", SECOND)).isNull();
            assertThat(mTable.add("e", SECOND)).isEqualTo("d");
        }
    }
}
