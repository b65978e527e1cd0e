package org.redwingladder.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.limits.AdmissionController;
import org.redwingladder.routing.DispatchAction.Cancel;
import org.redwingladder.routing.DispatchAction.Deliver;
import org.redwingladder.routing.DispatchAction.Refuse;
import org.redwingladder.routing.DispatchAction.Send;

class SiteDispatcherTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;

    private final List<BackendSpec> mSpecs = new ArrayList<>();

    private SiteDispatcher dispatcher(int servers, int slots) {
        for (int i = 0; i < servers; i++) {
            mSpecs.add(new BackendSpec("b" + i, slots, 100, false));
        }
        return SiteDispatcher.create(config(), AdmissionController.unlimited(), new Random(1), 0);
    }

    private SiteConfig config() {
        return new SiteConfig("s", 10 * SECOND, 10 * SECOND, 66, mSpecs);
    }

    private static SiteRequest request(long id, WorkClass workClass, long deadline) {
        return new SiteRequest(id, "z", "k", workClass, deadline, true);
    }

    private static SiteRequest nonIdempotent(long id) {
        return new SiteRequest(id, "z", "k", WorkClass.SHORT, 5 * SECOND, false);
    }

    private static List<Send> sends(List<DispatchAction> actions) {
        return actions.stream().filter(a -> a instanceof Send).map(a -> (Send) a).toList();
    }

    private static List<Refuse> refusals(List<DispatchAction> actions) {
        return actions.stream().filter(a -> a instanceof Refuse).map(a -> (Refuse) a).toList();
    }

    /** Completes {@code rounds} short requests with a service time of 10 ms each. */
    private static long warmUp(SiteDispatcher dispatcher, int rounds) {
        long now = 0;
        for (int i = 0; i < rounds; i++) {
            dispatcher.offer(request(1_000_000 + i, WorkClass.SHORT, now + SECOND), now);
            for (Send send : sends(dispatcher.dispatch(now))) {
                dispatcher.attemptEnded(send.attempt(), AttemptResult.ANSWERED, now + 10 * MILLI);
            }
            now += 10 * MILLI;
        }
        return now;
    }

    @Nested
    class Scheduling {
        /** Guards against a request near its deadline queued behind ones with later deadlines. */
        @Test
        void sendsTheEarliestDeadlineFirst() {
            SiteDispatcher dispatcher = dispatcher(1, 1);
            long now = warmUp(dispatcher, 100);
            dispatcher.offer(request(1, WorkClass.SHORT, now + 3 * SECOND), now);
            dispatcher.offer(request(2, WorkClass.SHORT, now + SECOND), now);

            assertThat(sends(dispatcher.dispatch(now)))
                    .extracting(s -> s.request().id())
                    .containsExactly(2L);
        }

        /** Guards against head-of-line blocking: long work that occupies all slots. */
        @Test
        void reservesSlotsForShortWork() {
            SiteDispatcher dispatcher = dispatcher(3, 4);
            for (int i = 0; i < 12; i++) {
                dispatcher.offer(request(i, WorkClass.LONG, 60 * SECOND), 0);
            }
            assertThat(sends(dispatcher.dispatch(0))).hasSize(7);

            dispatcher.offer(request(100, WorkClass.SHORT, SECOND), 0);
            assertThat(sends(dispatcher.dispatch(0))).hasSize(1);
        }
    }

    @Nested
    class AdmissionControl {
        /** Guards against requests that are queued until they can no longer meet their deadline. */
        @Test
        void refusesRequestsThatCannotStartBeforeTheirDeadline() {
            SiteDispatcher dispatcher = dispatcher(1, 1);
            long now = warmUp(dispatcher, 200);
            List<DispatchAction> out = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                out.addAll(dispatcher.offer(request(i, WorkClass.SHORT, now + 60 * MILLI), now));
                out.addAll(dispatcher.dispatch(now));
            }

            assertThat(refusals(out)).hasSizeBetween(90, 97);
            assertThat(refusals(out))
                    .allSatisfy(
                            r -> {
                                assertThat(r.reason()).isEqualTo(RefusalReason.QUEUE_FULL);
                                assertThat(r.outcome()).isEqualTo(Outcome.NOT_RUN);
                                assertThat(r.retryAtNanos()).isGreaterThan(0);
                            });
        }

        /** Guards against requests that are queued although the ingress knows a better site. */
        @Test
        void refusesRequestsWhoseExpectedWaitExceedsTheIngressLimit() {
            SiteDispatcher dispatcher = dispatcher(1, 1);
            long now = warmUp(dispatcher, 200);
            dispatcher.offer(request(1, WorkClass.SHORT, now + SECOND), now);
            dispatcher.dispatch(now);
            SiteRequest second = request(2, WorkClass.SHORT, now + SECOND);

            assertThat(refusals(dispatcher.offer(second, 5 * MILLI, now)))
                    .extracting(Refuse::outcome)
                    .containsExactly(Outcome.NOT_RUN);
            assertThat(refusals(dispatcher.offer(second, 50 * MILLI, now))).isEmpty();
        }

        /** Guards against work that is sent although its client no longer waits for it. */
        @Test
        void doesNotSendExpiredOrCancelledRequests() {
            SiteDispatcher dispatcher = dispatcher(1, 1);
            dispatcher.offer(request(1, WorkClass.SHORT, 10 * SECOND), 0);
            Send first = sends(dispatcher.dispatch(0)).get(0);
            dispatcher.offer(request(2, WorkClass.SHORT, 200 * MILLI), 0);
            dispatcher.offer(request(3, WorkClass.SHORT, 10 * SECOND), 0);
            dispatcher.requestCancelled(3, MILLI);
            dispatcher.attemptEnded(first.attempt(), AttemptResult.ANSWERED, 300 * MILLI);

            List<DispatchAction> out = dispatcher.dispatch(300 * MILLI);

            assertThat(sends(out)).isEmpty();
            assertThat(refusals(out))
                    .extracting(Refuse::reason)
                    .containsExactly(RefusalReason.DEADLINE_EXPIRED);
        }
    }

    @Nested
    class Hedging {
        /** Guards against tail latency from one slow server while another is idle. */
        @Test
        void hedgesIdempotentRequestAndCancelsTheLoser() {
            SiteDispatcher dispatcher = dispatcher(2, 2);
            long now = warmUp(dispatcher, 200);
            dispatcher.offer(request(1, WorkClass.SHORT, now + SECOND), now);
            Send first = sends(dispatcher.dispatch(now)).get(0);
            long late = now + 15 * MILLI;

            Send hedge = sends(dispatcher.tick(late)).get(0);
            assertThat(hedge.kind()).isEqualTo(AttemptKind.HEDGE);
            assertThat(hedge.backend()).isNotEqualTo(first.backend());

            assertThat(
                            dispatcher.attemptEnded(
                                    hedge.attempt(), AttemptResult.ANSWERED, late + MILLI))
                    .containsExactly(
                            new Deliver(first.request(), hedge.attempt()),
                            new Cancel(first.attempt(), first.backend()));
            assertThat(dispatcher.attemptEnded(first.attempt(), AttemptResult.ANSWERED, late + 2))
                    .isEmpty();
        }

        /** Guards against duplicate execution of a request such as a payment. */
        @Test
        void neverHedgesNonIdempotentRequests() {
            SiteDispatcher dispatcher = dispatcher(2, 2);
            long now = warmUp(dispatcher, 200);
            dispatcher.offer(nonIdempotent(1), now);
            assertThat(sends(dispatcher.dispatch(now))).hasSize(1);

            assertThat(sends(dispatcher.tick(now + 500 * MILLI))).isEmpty();
        }

        /** Guards against the outcome "not run" for a request whose hedge may have run. */
        @Test
        void outcomeIsUnknownAfterALostHedge() {
            SiteDispatcher dispatcher = dispatcher(2, 2);
            long now = warmUp(dispatcher, 200);
            dispatcher.offer(request(1, WorkClass.SHORT, now + SECOND), now);
            Send first = sends(dispatcher.dispatch(now)).get(0);
            Send hedge = sends(dispatcher.tick(now + 15 * MILLI)).get(0);

            dispatcher.attemptEnded(
                    hedge.attempt(), AttemptResult.CONNECTION_LOST, now + 16 * MILLI);
            List<DispatchAction> out =
                    dispatcher.attemptEnded(first.attempt(), AttemptResult.SHED, now + 17 * MILLI);

            assertThat(refusals(out)).extracting(Refuse::outcome).containsExactly(Outcome.UNKNOWN);
        }
    }

    @Nested
    class Draining {
        /** Guards against more work for a backend server that refuses connections. */
        @Test
        void requeuesAfterARefusedConnection() {
            SiteDispatcher dispatcher = dispatcher(2, 2);
            dispatcher.offer(nonIdempotent(1), 0);
            Send first = sends(dispatcher.dispatch(0)).get(0);

            assertThat(
                            dispatcher.attemptEnded(
                                    first.attempt(), AttemptResult.CONNECTION_REFUSED, 1))
                    .isEmpty();
            Send second = sends(dispatcher.dispatch(1)).get(0);
            assertThat(second.backend()).isNotEqualTo(first.backend());
        }

        /** Guards against a stale load report that returns a draining backend server to service. */
        @Test
        void drainingResponseHeaderOverridesStaleLoadReport() {
            SiteDispatcher dispatcher = dispatcher(1, 2);
            dispatcher.loadReported(
                    "b0",
                    new LoadReport(0, 2, LoadReport.State.DRAINING),
                    LoadReportSource.RESPONSE_HEADER,
                    SECOND);
            dispatcher.loadReported(
                    "b0",
                    new LoadReport(0, 2, LoadReport.State.SERVING),
                    LoadReportSource.LOAD_ENDPOINT,
                    2 * SECOND);

            assertThat(refusals(dispatcher.offer(nonIdempotent(1), 2 * SECOND)))
                    .extracting(Refuse::reason)
                    .containsExactly(RefusalReason.NO_BACKEND);
        }
    }

    @Nested
    class OutlierEjection {
        /**
         * Guards against slow servers that still receive work, and against ejection of them all.
         */
        @Test
        void ejectsSlowServersUpToHalfOfThePool() {
            SiteDispatcher dispatcher = dispatcher(4, 2);
            long now = warmUp(dispatcher, 400);
            for (int i = 0; i < 400; i++, now += 5 * MILLI) {
                dispatcher.offer(request(i, WorkClass.SHORT, now + 10 * SECOND), now);
                for (Send send : sends(dispatcher.dispatch(now))) {
                    // b0 to b2 never respond; at most half of the four may be ejected.
                    if (send.backend().equals("b3")) {
                        dispatcher.attemptEnded(
                                send.attempt(), AttemptResult.ANSWERED, now + 4 * MILLI);
                    }
                }
                dispatcher.tick(now + 4 * MILLI);
            }

            assertThat(dispatcher.status(now).backends())
                    .filteredOn(b -> b.state() == SiteStatus.State.EJECTED)
                    .hasSizeBetween(1, 2);
        }
    }

    /** Guards against missing or duplicate final responses, and against leaked slots. */
    @Property(tries = 40, seed = "20261204")
    void givesOneFinalResponsePerRequestAndReleasesAllSlots(@ForAll long seed) {
        Random random = new Random(seed);
        mSpecs.clear();
        SiteDispatcher dispatcher = dispatcher(3, 3);
        Map<Long, Send> inFlight = new HashMap<>();
        Map<Long, Integer> finalResponses = new HashMap<>();
        long now = 0;
        for (int i = 0; i < 1500; i++) {
            now += random.nextLong(8 * MILLI);
            List<DispatchAction> out = new ArrayList<>();
            if (i < 1000 && random.nextBoolean()) {
                WorkClass workClass = random.nextInt(6) == 0 ? WorkClass.LONG : WorkClass.SHORT;
                long timeToDeadline = random.nextLong(3 * SECOND);
                SiteRequest request =
                        new SiteRequest(
                                i, "z", "k", workClass, now + timeToDeadline, random.nextBoolean());
                finalResponses.put((long) i, 0);
                out.addAll(dispatcher.offer(request, now));
            }
            if (!inFlight.isEmpty() && (random.nextInt(3) > 0 || i > 1000)) {
                Long attempt = inFlight.keySet().stream().sorted().findFirst().orElseThrow();
                inFlight.remove(attempt);
                AttemptResult result =
                        random.nextInt(4) > 0
                                ? AttemptResult.ANSWERED
                                : AttemptResult.values()[random.nextInt(5)];
                out.addAll(dispatcher.attemptEnded(attempt, result, now));
            }
            out.addAll(dispatcher.tick(now));
            out.addAll(dispatcher.dispatch(now));
            carryOut(out, inFlight, finalResponses);
        }

        assertThat(finalResponses.values()).allMatch(count -> count == 1);
        dispatcher.tick(now + SECOND);
        assertThat(dispatcher.status(now + SECOND).backends()).allMatch(b -> b.inFlight() == 0);
    }

    private static void carryOut(
            List<DispatchAction> out, Map<Long, Send> inFlight, Map<Long, Integer> finalResponses) {
        for (DispatchAction action : out) {
            switch (action) {
                case Send send -> inFlight.put(send.attempt(), send);
                case Cancel cancel -> assertThat(inFlight.remove(cancel.attempt())).isNotNull();
                case Deliver deliver ->
                        finalResponses.merge(deliver.request().id(), 1, Integer::sum);
                case Refuse refuse -> finalResponses.merge(refuse.request().id(), 1, Integer::sum);
            }
        }
    }
}
