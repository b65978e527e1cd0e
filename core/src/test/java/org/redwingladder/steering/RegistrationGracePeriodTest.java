package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RegistrationGracePeriodTest {
    private static final long SECOND = 1_000_000_000L;

    private static ServerRegistration registration(String id, boolean draining) {
        return new ServerRegistration(id, "a", "10.0.0.1:80", "z", 4, draining, 1, 0);
    }

    private final RegistrationGracePeriod mGracePeriod = RegistrationGracePeriod.create();
    private final Map<String, ServerRegistration> mBoth =
            Map.of("s1", registration("s1", false), "s2", registration("s2", false));

    private void recordOutage() {
        mGracePeriod.recordStoreFailure();
        mGracePeriod.recordStoreFailure();
    }

    @Nested
    class AfterOutage {
        /** Without a grace period, a service loses all servers before they can register again. */
        @Test
        void retainsExpiredRegistrationsForTwoSeconds() {
            mGracePeriod.update(mBoth, 0);
            recordOutage();
            mGracePeriod.recordStoreSuccess(10 * SECOND);
            assertThat(mGracePeriod.update(Map.of(), 10 * SECOND)).containsOnlyKeys("s1", "s2");
            assertThat(mGracePeriod.effectiveRegistrations(11 * SECOND))
                    .containsOnlyKeys("s1", "s2");
            assertThat(mGracePeriod.effectiveRegistrations(12 * SECOND)).isEmpty();
        }

        /** A draining server shuts down and does not register again. */
        @Test
        void dropsDrainingServers() {
            mGracePeriod.update(Map.of("s1", registration("s1", true)), 0);
            recordOutage();
            mGracePeriod.recordStoreSuccess(SECOND);
            assertThat(mGracePeriod.update(Map.of(), SECOND)).isEmpty();
        }

        /**
         * A server that registered again during the grace period must not be retained afterwards.
         */
        @Test
        void dropsServerThatReRegisteredAndLeft() {
            mGracePeriod.update(mBoth, 0);
            recordOutage();
            mGracePeriod.recordStoreSuccess(SECOND);
            mGracePeriod.update(Map.of(), SECOND);
            mGracePeriod.update(mBoth, 2 * SECOND);
            assertThat(mGracePeriod.update(Map.of("s1", registration("s1", false)), 4 * SECOND))
                    .containsOnlyKeys("s1");
        }

        /** Hosts return one after the other; a server that left was retained until the last one. */
        @Test
        void retainsNothingLongerBecauseAnotherHostRecovers() {
            mGracePeriod.update(mBoth, 0);
            recordOutage();
            mGracePeriod.recordStoreSuccess(10 * SECOND);
            mGracePeriod.update(Map.of("s2", registration("s2", false)), 10 * SECOND);
            mGracePeriod.extendFromPeer(2 * SECOND, 11 * SECOND);
            assertThat(mGracePeriod.nanosUntilRelease(11 * SECOND)).isEqualTo(SECOND);
            assertThat(mGracePeriod.effectiveRegistrations(12 * SECOND)).containsOnlyKeys("s2");
        }

        @Test
        void retainsRegistrationsIfOtherHostsWereServedOnlyBefore() {
            mGracePeriod.update(mBoth, 0);
            mGracePeriod.recordServiceToOthers(SECOND);
            recordOutage();
            mGracePeriod.recordStoreSuccess(10 * SECOND);
            assertThat(mGracePeriod.update(Map.of(), 10 * SECOND)).containsOnlyKeys("s1", "s2");
        }

        @Test
        void retainsRegistrationsIfAnotherHostRecoversFirst() {
            mGracePeriod.update(mBoth, 0);
            recordOutage();
            mGracePeriod.recordServiceToOthers(9 * SECOND);
            mGracePeriod.recordStoreSuccess(10 * SECOND);
            assertThat(mGracePeriod.update(Map.of(), 10 * SECOND)).containsOnlyKeys("s1", "s2");
        }
    }

    @Nested
    class WithoutOutage {
        /** One broken connection is no outage, so servers that left must not be retained. */
        @Test
        void singleFailedCallRetainsNothing() {
            mGracePeriod.update(mBoth, 0);
            mGracePeriod.recordStoreFailure();
            mGracePeriod.recordStoreSuccess(SECOND);
            assertThat(mGracePeriod.update(Map.of(), SECOND)).isEmpty();
        }

        /** Registrations do not lapse while the store serves the servers and other hosts. */
        @Test
        void rejectionOfThisHostAloneRetainsNothing() {
            mGracePeriod.update(mBoth, 0);
            recordOutage();
            for (int second = 1; second < 10; second++) {
                mGracePeriod.recordServiceToOthers(second * SECOND);
            }
            mGracePeriod.recordStoreSuccess(10 * SECOND);
            assertThat(mGracePeriod.update(Map.of(), 10 * SECOND)).isEmpty();
        }

        /** Updates from peers that reach the store show that the servers left. */
        @Test
        void failuresWithoutRecoveryRetainNothing() {
            mGracePeriod.update(mBoth, 0);
            recordOutage();
            assertThat(mGracePeriod.update(Map.of(), SECOND)).isEmpty();
        }

        /** Failures before polling stopped must not start a grace period when it resumes. */
        @Test
        void stoppedPollingResetsFailureCount() {
            mGracePeriod.update(mBoth, 0);
            recordOutage();
            mGracePeriod.recordPollingStopped();
            mGracePeriod.recordStoreSuccess(SECOND);
            assertThat(mGracePeriod.update(Map.of(), SECOND)).isEmpty();
        }
    }

    @Nested
    class WithoutFailures {
        /** While the store is available, requests must not be sent to a server that left. */
        @Test
        void dropsExpiredRegistrationsImmediately() {
            mGracePeriod.update(mBoth, 0);
            assertThat(mGracePeriod.update(Map.of(), SECOND)).isEmpty();
        }

        /** A host that receives its changes from a peer must not remove what the peer retains. */
        @Test
        void retainsDuringGracePeriodOfPeer() {
            mGracePeriod.update(mBoth, 0);
            mGracePeriod.extendFromPeer(2 * SECOND, SECOND);
            assertThat(mGracePeriod.update(Map.of(), SECOND)).containsOnlyKeys("s1", "s2");
        }

        /** Grace periods must not grow while peers forward them to each other. */
        @Test
        void isNotExtendedByPeerThatEndsEarlier() {
            mGracePeriod.update(mBoth, 0);
            mGracePeriod.extendFromPeer(2 * SECOND, 0);
            mGracePeriod.update(Map.of(), 0);
            mGracePeriod.extendFromPeer(SECOND / 2, SECOND);
            assertThat(mGracePeriod.effectiveRegistrations(2 * SECOND)).isEmpty();
        }
    }
}
