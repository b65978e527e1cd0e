package org.redwingladder.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.limits.AdmissionController;
import org.redwingladder.limits.SiteCap;
import org.redwingladder.routing.DispatchAction.Cancel;
import org.redwingladder.routing.DispatchAction.Refuse;
import org.redwingladder.routing.DispatchAction.Send;

class InFlightCapReleaseTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;

    private final SiteDispatcher mDispatcher =
            SiteDispatcher.create(
                    new SiteConfig(
                            "s",
                            10 * SECOND,
                            10 * SECOND,
                            66,
                            List.of(new BackendSpec("b", 8, 100, false))),
                    AdmissionController.create(
                            Map.of("z", "r"),
                            List.of(new SiteCap("c", SiteCap.ANY, -1, 1)),
                            Map.of(),
                            0),
                    new Random(1),
                    0);

    private List<DispatchAction> offer(long id, long deadline, long now) {
        SiteRequest request = new SiteRequest(id, "z", "k", WorkClass.SHORT, deadline, false);
        List<DispatchAction> actions = new ArrayList<>(mDispatcher.offer(request, SECOND, now));
        actions.addAll(mDispatcher.dispatch(now));
        return actions;
    }

    private Send send(long id, long deadline, long now) {
        List<DispatchAction> actions = offer(id, deadline, now);
        assertThat(actions).hasSize(1).first().isInstanceOf(Send.class);
        return (Send) actions.get(0);
    }

    private void assertCapHeldForOneSecond(long endedAt) {
        assertThat(offer(2, 60 * SECOND, endedAt + MILLI))
                .hasSize(1)
                .first()
                .isInstanceOf(Refuse.class);
        assertThat(offer(3, 60 * SECOND, endedAt + SECOND))
                .hasSize(1)
                .first()
                .isInstanceOf(Send.class);
    }

    @Nested
    class CancelledRequest {
        /** Guards against work above the cap while a backend server has not noticed the close. */
        @Test
        void disconnectedClientHoldsInFlightCapUntilWorkHasEnded() {
            send(1, 10 * SECOND, 0);

            assertThat(mDispatcher.requestCancelled(1, SECOND))
                    .hasSize(1)
                    .first()
                    .isInstanceOf(Cancel.class);

            assertCapHeldForOneSecond(SECOND);
        }

        /** Guards against the handover of a site while its cancelled work may still be running. */
        @Test
        void cancelledWorkCountsAsRunningAtHandover() {
            send(1, 10 * SECOND, 0);
            mDispatcher.requestCancelled(1, SECOND);

            assertThat(mDispatcher.possiblyRunning(SECOND + MILLI)).isEqualTo(1);
            assertThat(mDispatcher.possiblyRunning(2 * SECOND)).isZero();
        }

        /** Guards against work above the cap after a deadline has expired. */
        @Test
        void expiredRequestHoldsInFlightCapUntilWorkHasEnded() {
            send(1, SECOND, 0);

            assertThat(mDispatcher.tick(SECOND)).hasSize(2);

            assertCapHeldForOneSecond(SECOND);
        }
    }

    @Nested
    class EndedAttempt {
        /** Guards against work above the cap after the connection to running work was lost. */
        @Test
        void lostConnectionHoldsInFlightCapUntilWorkHasEnded() {
            Send sent = send(1, 10 * SECOND, 0);

            mDispatcher.attemptEnded(sent.attempt(), AttemptResult.CONNECTION_LOST, SECOND);

            assertCapHeldForOneSecond(SECOND);
        }

        /** Guards against a place under the cap that is not released after a response. */
        @Test
        void responseReleasesInFlightCapAtOnce() {
            Send sent = send(1, 10 * SECOND, 0);

            mDispatcher.attemptEnded(sent.attempt(), AttemptResult.ANSWERED, SECOND);

            send(2, 60 * SECOND, SECOND);
        }
    }
}
