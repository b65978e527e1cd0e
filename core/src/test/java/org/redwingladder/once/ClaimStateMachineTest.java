package org.redwingladder.once;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.once.ClaimStateMachine.Effect;

class ClaimStateMachineTest {
    private static final StoredResponse OUTCOME =
            StoredResponse.of(201, Map.of("Content-Type", "text/plain"), new byte[] {1, 2});

    private final ClaimRecord mClaim = claim("h1", 1);
    private final ClaimStateMachine mStateMachine = ClaimStateMachine.create(mClaim, 500);

    private static ClaimRecord claim(String host, long attempt) {
        return new ClaimRecord("checkout", "k1", host, 1, attempt, 1000, null);
    }

    private static void assertRefused(List<Effect> effects, RefusalReason reason, Outcome outcome) {
        assertThat(effects.getFirst()).isInstanceOf(Effect.Refuse.class);
        Refusal refusal = ((Effect.Refuse) effects.getFirst()).refusal();
        assertThat(refusal.reason()).isEqualTo(reason);
        assertThat(refusal.outcome()).isEqualTo(outcome);
    }

    @Nested
    class Record {
        /** Guards against a claim that is not read back from the platform's table as written. */
        @Test
        void roundTripsThroughJson() throws Exception {
            ObjectMapper mapper = new ObjectMapper();
            ClaimRecord done = mClaim.withOutcome(OUTCOME);

            assertThat(mapper.readValue(mapper.writeValueAsString(done), ClaimRecord.class))
                    .isEqualTo(done);
            assertThat(mapper.readValue(mapper.writeValueAsString(mClaim), ClaimRecord.class))
                    .isEqualTo(mClaim);
        }
    }

    @Nested
    class Claiming {
        /** Guards against work sent before its claim is written, or after its deadline. */
        @Test
        void sendsOnlyAfterTheClaimIsWritten() {
            assertThat(mStateMachine.start()).containsExactly(new Effect.WriteClaim(mClaim, 0));
            assertThat(mStateMachine.claimWritten(4, 10)).containsExactly(new Effect.Send(500));
            assertThat(mStateMachine.completed(OUTCOME))
                    .containsExactly(
                            new Effect.Respond(OUTCOME),
                            new Effect.WriteOutcome(mClaim.withOutcome(OUTCOME), 4));
        }

        /** Guards against duplicate execution while the first attempt has no outcome. */
        @Test
        void refusesWithUnknownOutcomeWhileAnotherAttemptOwnsTheClaim() {
            mStateMachine.start();

            assertRefused(
                    mStateMachine.claimConflicted(claim("h2", 1), 3, 10),
                    RefusalReason.CLAIM_EXISTS,
                    Outcome.UNKNOWN);
        }

        /** Guards against a retried request that gets another response than the first. */
        @Test
        void replaysTheStoredResponse() {
            mStateMachine.start();

            assertThat(mStateMachine.claimConflicted(claim("h2", 1).withOutcome(OUTCOME), 3, 10))
                    .containsExactly(new Effect.Respond(OUTCOME));
        }

        /** Guards against an expired claim that blocks its key, or is replaced unconditionally. */
        @Test
        void replacesAnExpiredClaimConditionallyOnItsVersion() {
            mStateMachine.start();
            ClaimRecord expired = new ClaimRecord("checkout", "k1", "h2", 1, 1, 5, null);

            assertThat(mStateMachine.claimConflicted(expired, 9, 10))
                    .containsExactly(new Effect.WriteClaim(mClaim, 9));
        }

        /** Guards against work sent when the claim write completes after the deadline. */
        @Test
        void releasesTheClaimAfterTheDeadline() {
            mStateMachine.start();
            List<Effect> effects = mStateMachine.claimWritten(4, 500);

            assertRefused(effects, RefusalReason.DEADLINE_EXPIRED, Outcome.NOT_RUN);
            assertThat(effects).contains(new Effect.DeleteClaim("once/checkout/k1", 4));
        }
    }

    @Nested
    class LostWriteResult {
        /** Guards against an attempt that mistakes its own claim for another attempt's. */
        @Test
        void ownClaimIsRecognizedWhenReadBack() {
            mStateMachine.start();
            assertThat(mStateMachine.claimWriteUncertain())
                    .containsExactly(new Effect.ReadClaim("once/checkout/k1"));

            assertThat(mStateMachine.claimRead(mClaim, 4, 10))
                    .containsExactly(new Effect.Send(500));
        }

        /** Guards against unlimited write retries while results are lost. */
        @Test
        void refusesAsNotRunAfterTheLastWriteAttempt() {
            List<Effect> effects = mStateMachine.start();
            for (int i = 0; effects.getFirst() instanceof Effect.WriteClaim; i++) {
                assertThat(i).isLessThan(10);
                mStateMachine.claimWriteUncertain();
                effects = mStateMachine.claimRead(null, 0, 10);
            }

            assertRefused(effects, RefusalReason.PLATFORM_UNAVAILABLE, Outcome.NOT_RUN);
        }
    }

    @Nested
    class Refusals {
        /**
         * Guards against a claim that is kept although the work certainly did not run, or is
         * released although it may have run.
         */
        @Test
        void onlyANotRunRefusalReleasesTheClaim() {
            mStateMachine.start();
            mStateMachine.claimWritten(4, 10);
            Refusal lost = Refusal.unknown(RefusalReason.BACKEND_LOST, "lost");
            assertThat(mStateMachine.refused(lost)).containsExactly(new Effect.Refuse(lost));

            ClaimStateMachine other = ClaimStateMachine.create(mClaim, 500);
            other.start();
            other.claimWritten(4, 10);
            Refusal shed = Refusal.notRun(RefusalReason.BACKEND_SHED, 0, "shed");
            assertThat(other.refused(shed))
                    .containsExactly(
                            new Effect.Refuse(shed), new Effect.DeleteClaim("once/checkout/k1", 4));
        }
    }

    /** A row whose writes may take effect late and whose results may be lost. */
    private static final class Row {
        private ClaimRecord mValue;
        private long mVersion;
        private final Deque<Effect.WriteClaim> mDelayed = new ArrayDeque<>();

        boolean write(Effect.WriteClaim write, boolean check) {
            long current = mValue == null ? 0 : mVersion;
            if (check && current != write.expectedVersion()) {
                return false;
            }
            mValue = write.claim();
            mVersion++;
            return true;
        }
    }

    /**
     * Guards guarantee 5, at-most-once execution: of two attempts with one key at most one sends
     * the work, for any lost results and delayed writes.
     */
    @Property(tries = 500, seed = "3")
    void atMostOneAttemptSends(@ForAll long seed) {
        assertThat(sends(seed, true)).isLessThanOrEqualTo(1);
    }

    @Nested
    class UnconditionalRetry {
        /** Guards against a vacuous property: an unconditional retry violates it. */
        @Test
        void violatesAtMostOnce() {
            int worst = 0;
            for (long seed = 0; seed < 100; seed++) {
                worst = Math.max(worst, sends(seed, false));
            }
            assertThat(worst).isGreaterThan(1);
        }
    }

    /** Interleaves two attempts; without {@code check}, retried writes are unconditional. */
    private static int sends(long seed, boolean check) {
        Random random = new Random(seed);
        Row row = new Row();
        List<ClaimStateMachine> machines = new ArrayList<>();
        List<Effect> pending = new ArrayList<>();
        boolean[] lost = new boolean[2];
        for (int i = 0; i < 2; i++) {
            machines.add(ClaimStateMachine.create(claim("h" + i, 1), 500));
            pending.add(machines.get(i).start().getFirst());
        }
        int sends = 0;
        for (int step = 0; step < 40; step++) {
            if (!row.mDelayed.isEmpty() && random.nextInt(3) == 0) {
                row.write(row.mDelayed.poll(), true);
            }
            int i = random.nextInt(2);
            ClaimStateMachine machine = machines.get(i);
            List<Effect> next =
                    switch (pending.get(i)) {
                        case Effect.WriteClaim write -> {
                            int fault = random.nextInt(3);
                            if (fault == 0) {
                                row.mDelayed.add(write);
                                lost[i] = true;
                                yield machine.claimWriteUncertain();
                            }
                            boolean done = row.write(write, check || !lost[i]);
                            if (fault == 1) {
                                lost[i] = true;
                                yield machine.claimWriteUncertain();
                            }
                            yield done
                                    ? machine.claimWritten(row.mVersion, 10)
                                    : machine.claimConflicted(row.mValue, row.mVersion, 10);
                        }
                        case Effect.ReadClaim read -> {
                            // An unconditional retry writes again without reading the row.
                            yield machine.claimRead(check ? row.mValue : null, row.mVersion, 10);
                        }
                        default -> List.of(pending.get(i));
                    };
            if (next.getFirst() instanceof Effect.Send
                    && !(pending.get(i) instanceof Effect.Send)) {
                sends++;
            }
            pending.set(i, next.getFirst());
        }
        return sends;
    }
}
