package org.redwingladder.once;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;

/**
 * Decides the steps of one request with an idempotency key: claim, send, outcome.
 *
 * <p>The caller carries out each {@link Effect} and reports its result. Work is sent only after the
 * claim is known to be this attempt's. Every write checks the row's version, so that a write whose
 * answer was lost may be repeated: if it took effect, the repetition fails and shows this attempt's
 * own claim. Not safe for use by several threads.
 */
public final class ClaimStateMachine {

    /** Tells the caller what to do. */
    public sealed interface Effect {
        /**
         * Asks to write {@code claim} if its row still has {@code expectedVersion}.
         *
         * @param claim the claim
         * @param expectedVersion the row's version; 0 means absent
         */
        record WriteClaim(ClaimRecord claim, long expectedVersion) implements Effect {}

        /**
         * Asks to read the claim's row, because the answer to a write was lost.
         *
         * @param rowKey the row's key
         */
        record ReadClaim(String rowKey) implements Effect {}

        /**
         * Asks to send the work once.
         *
         * @param startBy the latest time at which it may start, in epoch milliseconds
         */
        record Send(long startBy) implements Effect {}

        /**
         * Asks to give the client this answer.
         *
         * @param outcome the answer
         */
        record Respond(StoredResponse outcome) implements Effect {}

        /**
         * Asks to refuse the request.
         *
         * @param refusal the refusal
         */
        record Refuse(Refusal refusal) implements Effect {}

        /**
         * Asks to write the outcome if the row still has {@code expectedVersion}. Nobody waits for
         * it: without it, a repeated request gets the outcome {@code unknown}.
         *
         * @param claim the claim with its outcome
         * @param expectedVersion the row's version
         */
        record WriteOutcome(ClaimRecord claim, long expectedVersion) implements Effect {}

        /**
         * Asks to delete the claim if the row still has {@code expectedVersion}, because the work
         * certainly did not run.
         *
         * @param rowKey the row's key
         * @param expectedVersion the row's version
         */
        record DeleteClaim(String rowKey, long expectedVersion) implements Effect {}
    }

    private enum State {
        NEW,
        WRITING,
        READING,
        SENT,
        ENDED
    }

    /** Limits writes whose answers are lost; after that the platform counts as not answering. */
    private static final int MAX_WRITES = 3;

    private final ClaimRecord mClaim;
    private final long mDeadline;
    private State mState = State.NEW;
    private int mWrites;
    private long mVersion;

    private ClaimStateMachine(ClaimRecord claim, long deadline) {
        mClaim = claim;
        mDeadline = deadline;
    }

    /**
     * Returns a machine for one attempt.
     *
     * @param claim the attempt's claim, without an outcome
     * @param deadline the request's deadline in epoch milliseconds
     */
    public static ClaimStateMachine create(ClaimRecord claim, long deadline) {
        return new ClaimStateMachine(claim, deadline);
    }

    /** Starts the attempt. */
    public List<Effect> start() {
        expect(State.NEW);
        return write(0);
    }

    /** Takes the result that the claim was written with {@code version}. */
    public List<Effect> claimWritten(long version, long now) {
        expect(State.WRITING);
        return send(version, now);
    }

    /** Takes the result that the row was found with {@code version} instead of the expected one. */
    public List<Effect> claimConflicted(@Nullable ClaimRecord found, long version, long now) {
        expect(State.WRITING);
        return found(found, version, now);
    }

    /** Takes the result that no answer came: the claim may have been written. */
    public List<Effect> claimWriteUncertain() {
        expect(State.WRITING);
        mState = State.READING;
        return List.of(new Effect.ReadClaim(mClaim.rowKey()));
    }

    /** Takes the row as it was read; {@code found} is null if it is absent. */
    public List<Effect> claimRead(@Nullable ClaimRecord found, long version, long now) {
        expect(State.READING);
        return found(found, version, now);
    }

    /** Takes the result that the platform does not answer a read, or refused before a write. */
    public List<Effect> platformUnavailable(long retryAt) {
        mState = State.ENDED;
        return refuse(
                Refusal.notRun(
                        RefusalReason.PLATFORM_UNAVAILABLE,
                        retryAt,
                        "the platform does not answer, so the key could not be claimed"));
    }

    /** Takes the answer of the work. */
    public List<Effect> completed(StoredResponse outcome) {
        expect(State.SENT);
        mState = State.ENDED;
        Effect answer = new Effect.Respond(outcome);
        if (outcome.body().length > StoredResponse.MAX_BODY_BYTES) {
            return List.of(answer);
        }
        return List.of(answer, new Effect.WriteOutcome(mClaim.withOutcome(outcome), mVersion));
    }

    /** Takes a refusal of the work; only a certain one gives the key back. */
    public List<Effect> refused(Refusal refusal) {
        expect(State.SENT);
        mState = State.ENDED;
        Effect refuse = new Effect.Refuse(refusal);
        return switch (refusal.outcome()) {
            case NOT_RUN -> List.of(refuse, new Effect.DeleteClaim(mClaim.rowKey(), mVersion));
            case UNKNOWN -> List.of(refuse);
        };
    }

    private List<Effect> found(@Nullable ClaimRecord found, long version, long now) {
        if (found == null) {
            return write(0);
        }
        if (found.isSameAttempt(mClaim)) {
            return send(version, now);
        }
        if (found.expiresAt() <= now) {
            return write(version);
        }
        mState = State.ENDED;
        StoredResponse outcome = found.outcome();
        if (outcome != null) {
            return List.of(new Effect.Respond(outcome));
        }
        return refuse(
                Refusal.unknown(
                        RefusalReason.CLAIM_EXISTS,
                        "another attempt with this key was started and has no outcome yet"));
    }

    private List<Effect> write(long expectedVersion) {
        if (mWrites >= MAX_WRITES) {
            return platformUnavailable(mDeadline);
        }
        mWrites++;
        mState = State.WRITING;
        return List.of(new Effect.WriteClaim(mClaim, expectedVersion));
    }

    private List<Effect> send(long version, long now) {
        mVersion = version;
        long startBy = Math.min(mDeadline, mClaim.expiresAt());
        if (now >= startBy) {
            mState = State.ENDED;
            Refusal refusal =
                    Refusal.notRun(
                            RefusalReason.DEADLINE_EXPIRED,
                            0,
                            "the deadline passed while the key was claimed");
            return List.of(
                    new Effect.Refuse(refusal), new Effect.DeleteClaim(mClaim.rowKey(), version));
        }
        mState = State.SENT;
        return List.of(new Effect.Send(startBy));
    }

    private static List<Effect> refuse(Refusal refusal) {
        return List.of(new Effect.Refuse(refusal));
    }

    private void expect(State state) {
        if (mState != state) {
            throw new IllegalStateException("in state " + mState + " instead of " + state);
        }
    }
}
