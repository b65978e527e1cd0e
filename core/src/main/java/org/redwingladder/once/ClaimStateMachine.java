package org.redwingladder.once;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;

/**
 * State machine of one request with an idempotency key: claim the key, send the work, store the
 * response.
 *
 * <p>The caller carries out each {@link Effect} and reports its result. Work is sent only once this
 * attempt is known to own the claim. Every write is a compare-and-set on the row's version, so that
 * a write whose result was lost can be retried: if it took effect, the retry conflicts and returns
 * this attempt's own claim. Not thread-safe.
 */
public final class ClaimStateMachine {

    /** An effect for the caller to carry out. */
    public sealed interface Effect {
        /**
         * Writes {@code claim} if its row still has {@code expectedVersion}.
         *
         * @param claim the claim
         * @param expectedVersion the row's version; 0 means absent
         */
        record WriteClaim(ClaimRecord claim, long expectedVersion) implements Effect {}

        /**
         * Reads the claim's row, because the result of a write was lost.
         *
         * @param rowKey the row's key
         */
        record ReadClaim(String rowKey) implements Effect {}

        /**
         * Sends the work once.
         *
         * @param startBy the latest time at which it may start, in epoch milliseconds
         */
        record Send(long startBy) implements Effect {}

        /**
         * Responds to the client.
         *
         * @param response the response
         */
        record Respond(StoredResponse response) implements Effect {}

        /**
         * Refuses the request.
         *
         * @param refusal the refusal
         */
        record Refuse(Refusal refusal) implements Effect {}

        /**
         * Writes the outcome if the row still has {@code expectedVersion}. Best effort: if the
         * write fails, a retried request gets the outcome {@code unknown}.
         *
         * @param claim the claim with its outcome
         * @param expectedVersion the row's version
         */
        record WriteOutcome(ClaimRecord claim, long expectedVersion) implements Effect {}

        /**
         * Deletes the claim if the row still has {@code expectedVersion}, because the work
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

    /** Attempts to write a claim, after which the platform counts as unavailable. */
    private static final int MAX_WRITE_ATTEMPTS = 3;

    private final ClaimRecord mClaim;
    private final long mDeadline;
    private State mState = State.NEW;
    private int mWriteAttempts;
    private long mVersion;

    private ClaimStateMachine(ClaimRecord claim, long deadline) {
        mClaim = claim;
        mDeadline = deadline;
    }

    /**
     * Creates the state machine of one attempt.
     *
     * @param claim the claim of the attempt, without an outcome
     * @param deadline the request's deadline in epoch milliseconds
     */
    public static ClaimStateMachine create(ClaimRecord claim, long deadline) {
        return new ClaimStateMachine(claim, deadline);
    }

    /** Starts the attempt. */
    public List<Effect> start() {
        requireState(State.NEW);
        return writeClaim(0);
    }

    /** Reports that the claim was written with {@code version}. */
    public List<Effect> claimWritten(long version, long now) {
        requireState(State.WRITING);
        return send(version, now);
    }

    /** Reports a version conflict: the row has {@code version} and contains {@code found}. */
    public List<Effect> claimConflicted(@Nullable ClaimRecord found, long version, long now) {
        requireState(State.WRITING);
        return onRowFound(found, version, now);
    }

    /** Reports that the result of the write was lost: the claim may have been written. */
    public List<Effect> claimWriteUncertain() {
        requireState(State.WRITING);
        mState = State.READING;
        return List.of(new Effect.ReadClaim(mClaim.rowKey()));
    }

    /** Reports the row that was read; {@code found} is null if it is absent. */
    public List<Effect> claimRead(@Nullable ClaimRecord found, long version, long now) {
        requireState(State.READING);
        return onRowFound(found, version, now);
    }

    /** Reports that a read got no response, or that a write was refused before it took effect. */
    public List<Effect> platformUnavailable(long retryAt) {
        mState = State.ENDED;
        return refuse(
                Refusal.notRun(
                        RefusalReason.PLATFORM_UNAVAILABLE,
                        retryAt,
                        "the platform is unavailable; could not claim the idempotency key"));
    }

    /** Reports the response to the work. */
    public List<Effect> completed(StoredResponse response) {
        requireState(State.SENT);
        mState = State.ENDED;
        Effect respond = new Effect.Respond(response);
        if (response.body().length > StoredResponse.MAX_BODY_BYTES) {
            return List.of(respond);
        }
        return List.of(respond, new Effect.WriteOutcome(mClaim.withOutcome(response), mVersion));
    }

    /** Reports a refusal; the claim is released only if the work certainly did not run. */
    public List<Effect> refused(Refusal refusal) {
        requireState(State.SENT);
        mState = State.ENDED;
        Effect refuse = new Effect.Refuse(refusal);
        return switch (refusal.outcome()) {
            case NOT_RUN -> List.of(refuse, new Effect.DeleteClaim(mClaim.rowKey(), mVersion));
            case UNKNOWN -> List.of(refuse);
        };
    }

    private List<Effect> onRowFound(@Nullable ClaimRecord found, long version, long now) {
        if (found == null) {
            return writeClaim(0);
        }
        if (found.isSameAttempt(mClaim)) {
            return send(version, now);
        }
        if (found.expiresAt() <= now) {
            return writeClaim(version);
        }
        mState = State.ENDED;
        StoredResponse outcome = found.outcome();
        if (outcome != null) {
            return List.of(new Effect.Respond(outcome));
        }
        return refuse(
                Refusal.unknown(
                        RefusalReason.CLAIM_EXISTS,
                        "another attempt with this idempotency key has no outcome yet"));
    }

    private List<Effect> writeClaim(long expectedVersion) {
        if (mWriteAttempts >= MAX_WRITE_ATTEMPTS) {
            return platformUnavailable(mDeadline);
        }
        mWriteAttempts++;
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
                            "the deadline expired while the idempotency key was being claimed");
            return List.of(
                    new Effect.Refuse(refusal), new Effect.DeleteClaim(mClaim.rowKey(), version));
        }
        mState = State.SENT;
        return List.of(new Effect.Send(startBy));
    }

    private static List<Effect> refuse(Refusal refusal) {
        return List.of(new Effect.Refuse(refusal));
    }

    private void requireState(State state) {
        if (mState != state) {
            throw new IllegalStateException("in state " + mState + "; expected: " + state);
        }
    }
}
