package org.redwingladder.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.limits.AdmissionController;
import org.redwingladder.routing.DispatchAction.Cancel;
import org.redwingladder.routing.DispatchAction.Send;

class ExtraAttemptBudgetTest {
    private static final long MILLI = 1_000_000L;

    private final Map<Long, List<Send>> mResponsesDue = new TreeMap<>();
    private final SiteDispatcher mDispatcher = dispatcher();
    private int mPrimaries;
    private int mExtraAttempts;

    private static SiteDispatcher dispatcher() {
        List<BackendSpec> specs = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            specs.add(new BackendSpec("b" + i, 4, 100, false));
        }
        SiteConfig config = new SiteConfig("s", 10_000 * MILLI, 0, 66, specs);
        return SiteDispatcher.create(config, AdmissionController.unlimited(), new Random(3), 0);
    }

    /** Simulates one millisecond, with one request; servers matching {@code slow} take 80 ms. */
    private void step(long now, String slow) {
        mDispatcher.offer(
                new SiteRequest(now, "z", "k", WorkClass.SHORT, now + 2_000 * MILLI, true), now);
        List<DispatchAction> out = new ArrayList<>();
        List<Send> due = mResponsesDue.remove(now);
        if (due != null) {
            for (Send send : due) {
                out.addAll(mDispatcher.attemptEnded(send.attempt(), AttemptResult.ANSWERED, now));
            }
        }
        out.addAll(mDispatcher.tick(now));
        out.addAll(mDispatcher.dispatch(now));
        for (DispatchAction action : out) {
            if (action instanceof Send send) {
                boolean primary = send.kind() == AttemptKind.PRIMARY;
                mPrimaries += primary ? 1 : 0;
                mExtraAttempts += primary ? 0 : 1;
                long serviceMillis =
                        send.backend().matches(slow) ? 80 : 3 + send.request().id() / MILLI % 5;
                mResponsesDue
                        .computeIfAbsent(now + serviceMillis * MILLI, t -> new ArrayList<>())
                        .add(send);
            } else if (action instanceof Cancel cancel) {
                mResponsesDue
                        .values()
                        .forEach(l -> l.removeIf(s -> s.attempt() == cancel.attempt()));
            }
        }
    }

    private long run(long from, int millis, String slow) {
        long now = from;
        for (int i = 0; i < millis; i++, now += MILLI) {
            step(now, slow);
        }
        return now;
    }

    private SiteStatus.State state(long now, String backend) {
        return mDispatcher.status(now).backends().stream()
                .filter(b -> b.name().equals(backend))
                .findFirst()
                .orElseThrow()
                .state();
    }

    @Nested
    class Budget {
        /** Guards against hedges and probes that amplify load when servers are slow. */
        @Test
        void hedgesAndProbesStayWithinFivePercentOfRequests() {
            long now = run(MILLI, 1000, "none");
            now = run(now, 2000, "b0");
            now = run(now, 2000, "b[012]");
            run(now, 2000, "b.");

            assertThat(mExtraAttempts).isPositive();
            assertThat(100L * mExtraAttempts).isLessThanOrEqualTo(5L * mPrimaries);
        }
    }

    @Nested
    class Ejection {
        /**
         * Guards against a recovered server that stays ejected, or a slow one that is readmitted.
         */
        @Test
        void slowServerIsEjectedUntilItRecovers() {
            long now = run(MILLI, 1000, "none");
            now = run(now, 1500, "b0");
            assertThat(state(now, "b0")).isEqualTo(SiteStatus.State.EJECTED);

            now = run(now, 1500, "none");
            assertThat(state(now, "b0")).isEqualTo(SiteStatus.State.SERVING);
        }
    }
}
