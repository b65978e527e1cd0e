package org.redwingladder.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.redwingladder.control.ClusterState;
import org.redwingladder.control.ControlEventLoop;
import org.redwingladder.control.MembershipDriver;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.MembershipEvent;
import org.redwingladder.membership.Roster;

/**
 * Shuts the process down without interrupting requests: hands over the owned sites, keeps serving
 * until look-up answers that name this host have expired, waits for requests in flight and leaves
 * the roster.
 */
final class GracefulShutdown {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long TICK_MILLIS = 50;

    // The leaving state reaches the other zones within one or two exchanges of zone summaries.
    private static final long PROPAGATION_MILLIS = 2000;

    // Covers requests that clients sent before they received the first refusal.
    private static final long QUIET_PERIOD_MILLIS = 300;

    private final ClusterState mState;
    private final MembershipDriver mRoster;
    private final ControlEventLoop mLoop;
    private final IntSupplier mInFlight;
    private final LongSupplier mLookupLifetimeMillis;
    private final long mTimeoutMillis;
    private final CompletableFuture<Boolean> mEnded = new CompletableFuture<>();
    private volatile @Nullable Phase mPhase;
    private ControlEventLoop.@Nullable PeriodicTask mTicks;
    private long mDeadlineMillis;
    private long mPhaseEndMillis;
    private boolean mFailed;

    private enum Phase {
        HANDING_OVER,
        SERVING_LOOKUPS,
        FINISHING,
        LEAVING,
        ENDED
    }

    GracefulShutdown(
            ClusterState state,
            MembershipDriver roster,
            ControlEventLoop loop,
            IntSupplier inFlight,
            LongSupplier lookupLifetimeMillis,
            long timeoutMillis) {
        mState = state;
        mRoster = roster;
        mLoop = loop;
        mInFlight = inFlight;
        mLookupLifetimeMillis = lookupLifetimeMillis;
        mTimeoutMillis = timeoutMillis;
    }

    /** Completes at the end of the shutdown, with false if its cause was a failure. */
    CompletableFuture<Boolean> ended() {
        return mEnded;
    }

    /** Returns the current phase as one line for the status; empty before the shutdown. */
    List<String> status() {
        Phase phase = mPhase;
        return phase == null
                ? List.of()
                : List.of(
                        "drain: a graceful shutdown is "
                                + phase.name().toLowerCase().replace('_', ' '));
    }

    /**
     * Begins the shutdown.
     *
     * @param failed whether the cause is a failure: a failed component, or another process that has
     *     replaced this one in the roster; the process then exits with an error
     * @return false if the shutdown has already begun
     */
    synchronized boolean begin(String reason, boolean failed) {
        if (mPhase != null) {
            return false;
        }
        mPhase = Phase.HANDING_OVER;
        mFailed = failed;
        mDeadlineMillis = mLoop.nowMillis() + mTimeoutMillis;
        LOG.atInfo().log("drain: starting a graceful shutdown: %s", reason);
        mRoster.submit(new MembershipEvent.Drain());
        mTicks = mLoop.scheduleWithFixedDelay(TICK_MILLIS, this::tick, cause -> end());
        return true;
    }

    private void tick() {
        long now = mLoop.nowMillis();
        boolean timedOut = now >= mDeadlineMillis;
        Phase phase = mPhase;
        if (phase == null) {
            return;
        }
        switch (phase) {
            case HANDING_OVER -> {
                if (handedOver() || timedOut) {
                    mPhaseEndMillis = now + mLookupLifetimeMillis.getAsLong() + PROPAGATION_MILLIS;
                    enter(Phase.SERVING_LOOKUPS);
                }
            }
            case SERVING_LOOKUPS -> {
                if (now >= mPhaseEndMillis || timedOut) {
                    mState.markStopping();
                    mPhaseEndMillis = now + QUIET_PERIOD_MILLIS;
                    enter(Phase.FINISHING);
                }
            }
            case FINISHING -> {
                if (mInFlight.getAsInt() > 0 && !timedOut) {
                    mPhaseEndMillis = now + QUIET_PERIOD_MILLIS;
                } else if (now >= mPhaseEndMillis) {
                    mRoster.submit(new MembershipEvent.Deregister());
                    enter(Phase.LEAVING);
                }
            }
            case LEAVING -> {
                if (mRoster.left().isDone() || mRoster.superseded().isDone() || timedOut) {
                    end();
                }
            }
            default -> {}
        }
    }

    // A process that is not listed in the roster owns no sites.
    private boolean handedOver() {
        Roster roster = mState.roster();
        if (roster == null) {
            return true;
        }
        Member listed = roster.member(mState.member().id());
        return listed == null || (!listed.serving() && roster.settled());
    }

    private void enter(Phase phase) {
        LOG.atInfo().log("drain: %s", phase.name().toLowerCase().replace('_', ' '));
        mPhase = phase;
    }

    private void end() {
        if (mTicks != null) {
            mTicks.cancel();
        }
        mPhase = Phase.ENDED;
        if (mInFlight.getAsInt() > 0) {
            LOG.atWarning().log(
                    "drain: the shutdown timed out with %d requests in flight",
                    mInFlight.getAsInt());
        }
        LOG.atInfo().log("drain: ended");
        mEnded.complete(!mFailed);
    }
}
