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

    private final SiteWaitTracker mLoads = SiteWaitTracker.create();

    private Site first(long nowNanos) {
        return mLoads.rank(SITES, nowNanos).get(0);
    }

    @Nested
    class Order {
        /** Guards against requests that travel although the near site has room. */
        @Test
        void prefersTheNearSite() {
            mLoads.recordWait("near", 10 * MILLI, 0);

            assertThat(first(0)).isEqualTo(NEAR);
        }

        /** Guards against a crowded site that goes on receiving until it refuses. */
        @Test
        void leavesACrowdedSiteAndComesBack() {
            mLoads.recordWait("near", 100 * MILLI, 0);

            assertThat(first(0)).isEqualTo(FAR);
            assertThat(first(2_000 * MILLI)).isEqualTo(NEAR);
        }
    }

    @Nested
    class Asking {
        /** Guards against a rush to a site whose wait was forgotten before it has answered. */
        @Test
        void asksWithOneRequest() {
            mLoads.recordWait("near", 100 * MILLI, 0);
            mLoads.recordSend("near", 900 * MILLI);

            assertThat(first(950 * MILLI)).isEqualTo(FAR);
            mLoads.recordWait("near", 0, 960 * MILLI);
            assertThat(first(960 * MILLI)).isEqualTo(NEAR);
        }

        /** Guards against a lost answer after which a site is never tried again. */
        @Test
        void givesUpWaitingForAnAnswer() {
            mLoads.recordWait("near", 100 * MILLI, 0);
            mLoads.recordSend("near", 900 * MILLI);

            assertThat(first(3_000 * MILLI)).isEqualTo(NEAR);
        }
    }

    @Nested
    class Patience {
        /** Guards against requests that go on to a site that is further than the wait is long. */
        @Test
        void isTheDifferenceToTheNextSite() {
            mLoads.recordWait("far", 5 * MILLI, 0);

            List<Site> order = List.of(NEAR, FAR);
            assertThat(mLoads.maxWaitNanos(order, 10, 0)).isEqualTo(25 * MILLI);
        }

        /** Guards against refusals for impatience that leave no token for the next attempt. */
        @Test
        void isEndlessWithoutTokensOrFarAway() {
            assertThat(mLoads.maxWaitNanos(List.of(NEAR, FAR), 3, 0)).isEqualTo(Long.MAX_VALUE);
            assertThat(mLoads.maxWaitNanos(List.of(FAR, NEAR), 10, 0)).isEqualTo(Long.MAX_VALUE);
            assertThat(mLoads.maxWaitNanos(List.of(NEAR), 10, 0)).isEqualTo(Long.MAX_VALUE);
        }
    }
}
