package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LapseHoldTest {
    private static final long SECOND = 1_000_000_000L;

    private static ServerRegistration entry(String id, boolean draining) {
        return new ServerRegistration(id, "a", "10.0.0.1:80", "z", 4, draining, 1, 0);
    }

    private final LapseHold mHold = LapseHold.create();
    private final Map<String, ServerRegistration> mBoth =
            Map.of("s1", entry("s1", false), "s2", entry("s2", false));

    private void outage() {
        mHold.storeFailed();
        mHold.storeFailed();
    }

    @Nested
    class Outage {
        /** Without a grace period, a service loses all servers before they can register again. */
        @Test
        void keepsLapsedEntriesForTwoSeconds() {
            mHold.update(mBoth, 0);
            outage();
            mHold.storeAnswers(10 * SECOND);
            assertThat(mHold.update(Map.of(), 10 * SECOND)).containsOnlyKeys("s1", "s2");
            assertThat(mHold.current(11 * SECOND)).containsOnlyKeys("s1", "s2");
            assertThat(mHold.current(12 * SECOND)).isEmpty();
        }

        /** A draining server shuts down and does not register again. */
        @Test
        void dropsServersThatWereLeaving() {
            mHold.update(Map.of("s1", entry("s1", true)), 0);
            outage();
            mHold.storeAnswers(SECOND);
            assertThat(mHold.update(Map.of(), SECOND)).isEmpty();
        }

        /** A server that registered again during the grace period must not be retained afterwards. */
        @Test
        void forgetsAnEntryThatReturned() {
            mHold.update(mBoth, 0);
            outage();
            mHold.storeAnswers(SECOND);
            mHold.update(Map.of(), SECOND);
            mHold.update(mBoth, 2 * SECOND);
            assertThat(mHold.update(Map.of("s1", entry("s1", false)), 4 * SECOND))
                    .containsOnlyKeys("s1");
        }
    }

    @Nested
    class FailedCalls {
        /** One broken connection is no outage, so servers that left must not be retained. */
        @Test
        void ofWhichOneIsNoOutageHoldNothing() {
            mHold.update(mBoth, 0);
            mHold.storeFailed();
            mHold.storeAnswers(SECOND);
            assertThat(mHold.update(Map.of(), SECOND)).isEmpty();
        }

        /** Updates from peers that reach the store show that the servers left. */
        @Test
        void ofAHostThatIsTurnedAwayHoldNothing() {
            mHold.update(mBoth, 0);
            outage();
            assertThat(mHold.update(Map.of(), SECOND)).isEmpty();
        }

        /** Failures before polling stopped must not start a grace period when it resumes. */
        @Test
        void areForgottenByAHostThatStopsAsking() {
            mHold.update(mBoth, 0);
            outage();
            mHold.storeNotAsked();
            mHold.storeAnswers(SECOND);
            assertThat(mHold.update(Map.of(), SECOND)).isEmpty();
        }
    }

    @Nested
    class Calm {
        /** While the store is available, requests must not be sent to a server that left. */
        @Test
        void dropsEntriesAtOnce() {
            mHold.update(mBoth, 0);
            assertThat(mHold.update(Map.of(), SECOND)).isEmpty();
        }

        /** A host that receives its changes from a peer must not remove what the peer retains. */
        @Test
        void holdsWhenAnotherHostDoes() {
            mHold.update(mBoth, 0);
            mHold.othersHold(2 * SECOND, SECOND);
            assertThat(mHold.update(Map.of(), SECOND)).containsOnlyKeys("s1", "s2");
        }

        /** Grace periods must not grow while peers forward them to each other. */
        @Test
        void isNotProlongedByOneThatEndsEarlier() {
            mHold.update(mBoth, 0);
            mHold.othersHold(2 * SECOND, 0);
            mHold.update(Map.of(), 0);
            mHold.othersHold(SECOND / 2, SECOND);
            assertThat(mHold.current(2 * SECOND)).isEmpty();
        }
    }
}
