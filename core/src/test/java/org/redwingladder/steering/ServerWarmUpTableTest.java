package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ServerWarmUpTableTest {
    private static final long MILLI = 1_000_000L;
    private static final long WARM_UP = 3_000;
    private static final ServerRegistration SERVER =
            new ServerRegistration("s", "a", "10.0.0.1:80", "z", 4, false, 1, 0);

    private final ServerWarmUpTable mTable = ServerWarmUpTable.create("h1");
    private final ServerWarmUpTable mOther = ServerWarmUpTable.create("h2");

    private boolean cold(ServerWarmUpTable table, long millis) {
        ServerWarmUp warmUp = table.warmUp(SERVER);
        return warmUp != null && warmUp.cold(millis * MILLI);
    }

    private void notListening(long sentMillis) {
        mTable.recordNotListening(SERVER, sentMillis * MILLI, (sentMillis + 1) * MILLI);
    }

    private void answer(ServerWarmUpTable table, Long coldMillis, long sentMillis) {
        table.recordAnswer(
                SERVER, coldMillis, WARM_UP, sentMillis * MILLI, (sentMillis + 10) * MILLI);
    }

    private void exchange() {
        mTable.updateServers(java.util.List.of(SERVER), 0);
        mOther.updateServers(java.util.List.of(SERVER), 0);
        mOther.merge(mTable.registered(), 0);
        mTable.merge(mOther.registered(), 0);
        assertThat(mOther.digest()).isEqualTo(mTable.digest());
    }

    @Nested
    class AbsentServers {
        /** A server that returns may fail if it gets all of its requests at once. */
        @Test
        void areColdUntilTheyHaveWarmedUpAfterTheirFirstAnswer() {
            notListening(100);
            assertThat(cold(mTable, 60_000)).isTrue();
            answer(mTable, null, 2_000);
            assertThat(cold(mTable, 5_009)).isTrue();
            assertThat(cold(mTable, 5_011)).isFalse();
        }

        /** An answer that was on its way before tells nothing of the return. */
        @Test
        void areNotBackWithAnAnswerToAnEarlierRequest() {
            notListening(100);
            answer(mTable, 0L, 50);
            assertThat(cold(mTable, 60_000)).isTrue();
        }

        /** A refusal that was on its way before the return would keep the server cold. */
        @Test
        void areNotAbsentAgainByAnEarlierAttempt() {
            notListening(100);
            answer(mTable, null, 2_000);
            mTable.recordNotListening(SERVER, 1_990 * MILLI, 2_020 * MILLI);
            assertThat(cold(mTable, 5_011)).isFalse();
        }

        @Test
        void areAsWarmAsTheySay() {
            notListening(100);
            answer(mTable, 0L, 2_000);
            assertThat(cold(mTable, 2_011)).isFalse();
        }
    }

    @Nested
    class PresentServers {
        @Test
        void areColdAsLongAsTheySay() {
            answer(mTable, null, 100);
            assertThat(cold(mTable, 111)).isFalse();
            answer(mTable, 1_000L, 100);
            assertThat(cold(mTable, 1_109)).isTrue();
            assertThat(cold(mTable, 1_111)).isFalse();
        }

        /** Repeated statements about one warm-up would be forwarded again and again. */
        @Test
        void changeNothingByRepeatingTheirStatement() {
            answer(mTable, 1_000L, 100);
            answer(mTable, 900L, 220);
            assertThat(mTable.warmUp(SERVER).version()).isEqualTo(1);
        }
    }

    @Nested
    class Hosts {
        /** Hosts that have not sent anything to the server would send their requests at once. */
        @Test
        void learnWarmUpsFromEachOther() {
            notListening(100);
            exchange();
            assertThat(cold(mOther, 60_000)).isTrue();
            answer(mOther, null, 2_000);
            exchange();
            assertThat(cold(mTable, 5_009)).isTrue();
            assertThat(cold(mTable, 5_011)).isFalse();
        }

        @Test
        void takeTheAbsenceOfTwoStatesOfTheSameVersion() {
            notListening(100);
            answer(mOther, 1_000L, 100);
            exchange();
            assertThat(cold(mOther, 60_000)).isTrue();
        }
    }
}
