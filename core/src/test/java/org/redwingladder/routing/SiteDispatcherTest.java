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
import org.redwingladder.limits.SiteLimits;
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
        return SiteDispatcher.create(config(), SiteLimits.unlimited(), new Random(1), 0);
    }

    private SiteConfig config() {
        return new SiteConfig("s", 10 * SECOND, 10 * SECOND, 66, mSpecs);
    }

    private static SiteRequest request(long id, WorkClass workClass, long deadline) {
        return new SiteRequest(id, "z", "k", workClass, deadline, true);
    }

    private static SiteRequest once(long id) {
        return new SiteRequest(id, "z", "k", WorkClass.SHORT, 5 * SECOND, false);
    }

    private static List<Send> sends(List<DispatchAction> actions) {
        return actions.stream().filter(a -> a instanceof Send).map(a -> (Send) a).toList();
    }

    private static List<Refuse> refusals(List<DispatchAction> actions) {
        return actions.stream().filter(a -> a instanceof Refuse).map(a -> (Refuse) a).toList();
    }

    /** Teaches a dispatcher that short work takes 10 ms. */
    private static long warm(SiteDispatcher dispatcher, int rounds) {
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
    class Order {
        /** Guards against a request near its deadline that waits behind later ones. */
        @Test
        void sendsTheEarliestDeadlineFirst() {
            SiteDispatcher dispatcher = dispatcher(1, 1);
            long now = warm(dispatcher, 100);
            dispatcher.offer(request(1, WorkClass.SHORT, now + 3 * SECOND), now);
            dispatcher.offer(request(2, WorkClass.SHORT, now + SECOND), now);

            assertThat(sends(dispatcher.dispatch(now)))
                    .extracting(s -> s.request().id())
                    .containsExactly(2L);
        }

        /** Guards against long work that takes the slots that short work needs. */
        @Test
        void keepsSlotsFromLongWork() {
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
    class Bound {
        /** Guards against requests that wait for a slot until nothing useful can come of it. */
        @Test
        void refusesAtOnceWhatCannotStartInTime() {
            SiteDispatcher dispatcher = dispatcher(1, 1);
            long now = warm(dispatcher, 200);
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

        /** Guards against short work that waits although its ingress knows a better site. */
        @Test
        void refusesWhatWouldWaitLongerThanItsPatience() {
            SiteDispatcher dispatcher = dispatcher(1, 1);
            long now = warm(dispatcher, 200);
            dispatcher.offer(request(1, WorkClass.SHORT, now + SECOND), now);
            dispatcher.dispatch(now);
            SiteRequest second = request(2, WorkClass.SHORT, now + SECOND);

            assertThat(refusals(dispatcher.offer(second, 5 * MILLI, now)))
                    .extracting(Refuse::outcome)
                    .containsExactly(Outcome.NOT_RUN);
            assertThat(refusals(dispatcher.offer(second, 50 * MILLI, now))).isEmpty();
        }

        /** Guards against work that is sent although its client has stopped waiting. */
        @Test
        void dropsExpiredAndCancelledWork() {
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
    class Copies {
        /** Guards against a tail request that waits for a slow server although another is idle. */
        @Test
        void hedgesIdempotentWorkAndCancelsTheLoser() {
            SiteDispatcher dispatcher = dispatcher(2, 2);
            long now = warm(dispatcher, 200);
            dispatcher.offer(request(1, WorkClass.SHORT, now + SECOND), now);
            Send first = sends(dispatcher.dispatch(now)).get(0);
            long late = now + 15 * MILLI;

            Send hedge = sends(dispatcher.tick(late)).get(0);
            assertThat(hedge.kind()).isEqualTo(AttemptKind.HEDGE);
            assertThat(hedge.backend()).isNotEqualTo(first.backend());

            assertThat(dispatcher.attemptEnded(hedge.attempt(), AttemptResult.ANSWERED, late + MILLI))
                    .containsExactly(
                            new Deliver(first.request(), hedge.attempt()),
                            new Cancel(first.attempt(), first.backend()));
            assertThat(dispatcher.attemptEnded(first.attempt(), AttemptResult.ANSWERED, late + 2))
                    .isEmpty();
        }

        /** Guards against a payment that is sent twice. */
        @Test
        void neverCopiesWorkThatMayNotRepeat() {
            SiteDispatcher dispatcher = dispatcher(2, 2);
            long now = warm(dispatcher, 200);
            dispatcher.offer(once(1), now);
            assertThat(sends(dispatcher.dispatch(now))).hasSize(1);

            assertThat(sends(dispatcher.tick(now + 500 * MILLI))).isEmpty();
        }

        /** Guards against "not run" for work whose copy may have run. */
        @Test
        void doesNotClaimNotRunAfterACopy() {
            SiteDispatcher dispatcher = dispatcher(2, 2);
            long now = warm(dispatcher, 200);
            dispatcher.offer(request(1, WorkClass.SHORT, now + SECOND), now);
            Send first = sends(dispatcher.dispatch(now)).get(0);
            Send hedge = sends(dispatcher.tick(now + 15 * MILLI)).get(0);

            dispatcher.attemptEnded(hedge.attempt(), AttemptResult.CONNECTION_LOST, now + 16 * MILLI);
            List<DispatchAction> out =
                    dispatcher.attemptEnded(first.attempt(), AttemptResult.SHED, now + 17 * MILLI);

            assertThat(refusals(out)).extracting(Refuse::outcome).containsExactly(Outcome.UNKNOWN);
        }
    }

    @Nested
    class Leaving {
        /** Guards against new work for a backend server that refuses connections. */
        @Test
        void queuesAgainAfterARefusedConnection() {
            SiteDispatcher dispatcher = dispatcher(2, 2);
            dispatcher.offer(once(1), 0);
            Send first = sends(dispatcher.dispatch(0)).get(0);

            assertThat(dispatcher.attemptEnded(first.attempt(), AttemptResult.CONNECTION_REFUSED, 1))
                    .isEmpty();
            Send second = sends(dispatcher.dispatch(1)).get(0);
            assertThat(second.backend()).isNotEqualTo(first.backend());
        }

        /** Guards against a lagging load report that brings a draining backend server back. */
        @Test
        void believesTheAnswersHeaderOverALateReport() {
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

            assertThat(refusals(dispatcher.offer(once(1), 2 * SECOND)))
                    .extracting(Refuse::reason)
                    .containsExactly(RefusalReason.NO_BACKEND);
        }
    }

    @Nested
    class Outliers {
        /** Guards against a slow backend server that goes on receiving work, and against none. */
        @Test
        void ejectsSlowServersDownToTheFloor() {
            SiteDispatcher dispatcher = dispatcher(4, 2);
            long now = warm(dispatcher, 400);
            for (int i = 0; i < 400; i++, now += 5 * MILLI) {
                dispatcher.offer(request(i, WorkClass.SHORT, now + 10 * SECOND), now);
                for (Send send : sends(dispatcher.dispatch(now))) {
                    // b0 to b2 never answer; only half of the four may be ejected.
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

    /** Guards against lost or doubled final answers and slots that are never given back. */
    @Property(tries = 40, seed = "20261204")
    void answersEachRequestOnceAndFreesAllSlots(@ForAll long seed) {
        Random random = new Random(seed);
        mSpecs.clear();
        SiteDispatcher dispatcher = dispatcher(3, 3);
        Map<Long, Send> inFlight = new HashMap<>();
        Map<Long, Integer> finals = new HashMap<>();
        long now = 0;
        for (int i = 0; i < 1500; i++) {
            now += random.nextLong(8 * MILLI);
            List<DispatchAction> out = new ArrayList<>();
            if (i < 1000 && random.nextBoolean()) {
                WorkClass workClass = random.nextInt(6) == 0 ? WorkClass.LONG : WorkClass.SHORT;
                long patience = random.nextLong(3 * SECOND);
                SiteRequest request =
                        new SiteRequest(
                                i, "z", "k", workClass, now + patience, random.nextBoolean());
                finals.put((long) i, 0);
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
            carryOut(out, inFlight, finals);
        }

        assertThat(finals.values()).allMatch(count -> count == 1);
        dispatcher.tick(now + SECOND);
        assertThat(dispatcher.status(now + SECOND).backends()).allMatch(b -> b.inFlight() == 0);
    }

    private static void carryOut(
            List<DispatchAction> out, Map<Long, Send> inFlight, Map<Long, Integer> finals) {
        for (DispatchAction action : out) {
            switch (action) {
                case Send send -> inFlight.put(send.attempt(), send);
                case Cancel cancel -> assertThat(inFlight.remove(cancel.attempt())).isNotNull();
                case Deliver deliver -> finals.merge(deliver.request().id(), 1, Integer::sum);
                case Refuse refuse -> finals.merge(refuse.request().id(), 1, Integer::sum);
            }
        }
    }
}
