package org.redwingladder.steering;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the attempts of one request and decides whether it may be retried or hedged, and whether
 * it certainly has not run.
 *
 * <p>A non-idempotent request is retried only if no earlier attempt can have run. Not thread-safe.
 */
public final class AttemptTracker {
    /** Limit for attempts that are never sent, which do not count towards the route's limit. */
    private static final int MAX_NEVER_SENT = 3;

    private final Route mRoute;
    private final List<Attempt> mAttempts = new ArrayList<>();
    private boolean mRefused;

    private AttemptTracker(Route route) {
        mRoute = requireNonNull(route);
    }

    /** Creates the tracker of a request that has not been sent. */
    public static AttemptTracker create(Route route) {
        return new AttemptTracker(route);
    }

    /**
     * One attempt. It may have run from its start on, until its result says otherwise; only the
     * first result counts.
     */
    public static final class Attempt {
        private final String mServerId;
        private @Nullable SendResult mResult;

        private Attempt(String serverId) {
            mServerId = requireNonNull(serverId);
        }

        /**
         * Records how the attempt ended. Later results are ignored, as they may belong to another
         * response or to a connection that was given up.
         *
         * @return whether this is the first result
         */
        public boolean end(SendResult result) {
            if (mResult != null) {
                return false;
            }
            mResult = requireNonNull(result);
            return true;
        }

        /** Returns whether the attempt has ended. */
        public boolean ended() {
            return mResult != null;
        }

        private boolean mayHaveRun() {
            return mResult == null || !mResult.provesNotRun();
        }

        private boolean neverSent() {
            return mResult != null && mResult.neverSent();
        }

        @Override
        public String toString() {
            return mServerId + ":" + mResult;
        }
    }

    /**
     * Records that an attempt is sent.
     *
     * @throws IllegalStateException if the request was refused as not run
     */
    public Attempt start(String serverId) {
        if (mRefused) {
            throw new IllegalStateException("the request was refused as not run");
        }
        Attempt attempt = new Attempt(serverId);
        mAttempts.add(attempt);
        return attempt;
    }

    /** Returns whether any attempt may have run at a server. */
    public boolean mayHaveRun() {
        return mAttempts.stream().anyMatch(Attempt::mayHaveRun);
    }

    /**
     * Returns the proof that the request has not run, or null if an attempt may have run. No
     * attempt can be started after a proof was returned.
     */
    public @Nullable NotRunProof refuse() {
        if (mayHaveRun()) {
            return null;
        }
        mRefused = true;
        return mAttempts.isEmpty()
                ? NotRunProof.ofUnsentRequest()
                : NotRunProof.ofAttempts(
                        mAttempts.stream().map(Attempt::toString).collect(Collectors.joining(" ")));
    }

    /** Returns whether the route allows another attempt. */
    public boolean hasAttemptsLeft() {
        return mAttempts.size() - neverSent() < mRoute.maxAttempts();
    }

    private long neverSent() {
        return mAttempts.stream().filter(Attempt::neverSent).count();
    }

    /** Returns whether the request may be hedged, that is sent while an earlier attempt is open. */
    public boolean mayHedge() {
        return mRoute.kind().retryable() && mRoute.maxAttempts() > 1;
    }

    /**
     * Returns whether the request may be retried after an attempt without a usable answer.
     *
     * @param last the result of the last attempt
     * @param remainingNanos the time until the request's deadline
     */
    public boolean mayRetry(SendResult last, long remainingNanos) {
        if (remainingNanos <= 0 || !hasAttemptsLeft()) {
            return false;
        }
        if (last.neverSent() && neverSent() >= MAX_NEVER_SENT) {
            return false;
        }
        return !mayHaveRun() || mRoute.kind().retryable();
    }
}
