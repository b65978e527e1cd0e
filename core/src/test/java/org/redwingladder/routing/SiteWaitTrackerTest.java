package org.redwingladder.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.routing.SiteWaitTracker.Site;

class SiteWaitTrackerTest {
    private static final long MILLI = 1_000_000L;
    private static final Site NEAR = new Site("near", 2 * MILLI);
    private static final Site FAR = new Site("far", 42 * MILLI);
    private static final List<Site> SITES = List.of(FAR, NEAR);

    private final SiteWaitTracker mTracker = SiteWaitTracker.create();

    private Site first(long nowNanos) {
        return mTracker.rank(SITES, nowNanos).get(0);
    }

    @Nested
    class Ranking {
        /** Guards against requests sent to a far site although the near site has capacity. */
        @Test
        void prefersTheNearSiteWhileItsWaitIsShort() {
            mTracker.recordWait("near", 10 * MILLI, 0);

            assertThat(first(0)).isEqualTo(NEAR);
        }

        /** Guards against an overloaded site that receives requests until it refuses them. */
        @Test
        void avoidsAnOverloadedSiteUntilItsWaitHasDecayed() {
            mTracker.recordWait("near", 100 * MILLI, 0);

            assertThat(first(0)).isEqualTo(FAR);
            assertThat(first(2_000 * MILLI)).isEqualTo(NEAR);
        }
    }

    @Nested
    class PendingRequest {
        /** Guards against a thundering herd at a site whose wait decayed before it responded. */
        @Test
        void waitDoesNotDecayWhileARequestIsPending() {
            mTracker.recordWait("near", 100 * MILLI, 0);
            mTracker.recordSend("near", 900 * MILLI);

            assertThat(first(950 * MILLI)).isEqualTo(FAR);
            mTracker.recordWait("near", 0, 960 * MILLI);
            assertThat(first(960 * MILLI)).isEqualTo(NEAR);
        }

        /** Guards against a lost response after which a site is never tried again. */
        @Test
        void lostResponseDoesNotExcludeASiteForever() {
            mTracker.recordWait("near", 100 * MILLI, 0);
            mTracker.recordSend("near", 900 * MILLI);

            assertThat(first(3_000 * MILLI)).isEqualTo(NEAR);
        }
    }

    @Nested
    class WaitLimit {
        /** Guards against requests diverted to a site whose distance exceeds the wait. */
        @Test
        void isTheExtraCostOfTheNextSite() {
            mTracker.recordWait("far", 5 * MILLI, 0);

            List<Site> order = List.of(NEAR, FAR);
            assertThat(mTracker.maxWaitNanos(order, 10, 0)).isEqualTo(25 * MILLI);
        }

        /** Guards against refusals because of the limit that leave no token for a retry. */
        @Test
        void isUnlimitedWithoutTokensOrForAFarSite() {
            assertThat(mTracker.maxWaitNanos(List.of(NEAR, FAR), 3, 0)).isEqualTo(Long.MAX_VALUE);
            assertThat(mTracker.maxWaitNanos(List.of(FAR, NEAR), 10, 0)).isEqualTo(Long.MAX_VALUE);
            assertThat(mTracker.maxWaitNanos(List.of(NEAR), 10, 0)).isEqualTo(Long.MAX_VALUE);
        }
    }
}
