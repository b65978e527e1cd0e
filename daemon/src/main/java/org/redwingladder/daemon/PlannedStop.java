package org.redwingladder.daemon;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.redwingladder.control.ClusterState;
import org.redwingladder.control.ControlLoop;
import org.redwingladder.control.RosterDriver;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.Roster;
import org.redwingladder.membership.RosterInput;

/**
 * Ends the process without cutting off a request: hands over the sites, serves through the look-up
 * lifetime, finishes what is in flight and leaves the roster.
 */
final class PlannedStop {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long STEP_MILLIS = 50;

    // Other zones learn of the leaving state within an exchange or two of summaries.
    private static final long SPREAD_MILLIS = 2000;

    // Requests that a client sent before it saw the refusal to new ones must reach this process.
    private static final long QUIET_MILLIS = 300;

    private final ClusterState mState;
    private final RosterDriver mRoster;
    private final ControlLoop mLoop;
    private final IntSupplier mInFlight;
    private final LongSupplier mLookupLifetimeMillis;
    private final long mStopMillis;
    private final CompletableFuture<Boolean> mEnded = new CompletableFuture<>();
    private volatile @Nullable Phase mPhase;
    private ControlLoop.@Nullable Periodic mSteps;
    private long mDeadline;
    private long mPhaseUntil;
    private boolean mFailed;

    private enum Phase {
        HANDING_OVER,
        SERVING_LOOKUPS,
        FINISHING,
        LEAVING,
        ENDED
    }

    PlannedStop(
            ClusterState state,
            RosterDriver roster,
            ControlLoop loop,
            IntSupplier inFlight,
            LongSupplier lookupLifetimeMillis,
            long stopMillis) {
        mState = state;
        mRoster = roster;
        mLoop = loop;
        mInFlight = inFlight;
        mLookupLifetimeMillis = lookupLifetimeMillis;
        mStopMillis = stopMillis;
    }

    /** Completes at the end, with whether the stop was planned. */
    CompletableFuture<Boolean> ended() {
        return mEnded;
    }

    /** Returns the state of the stop, empty if it has not begun. */
    List<String> status() {
        Phase phase = mPhase;
        return phase == null
                ? List.of()
                : List.of(
                        "drain: a planned stop is " + phase.name().toLowerCase().replace('_', ' '));
    }

    /**
     * Begins the stop.
     *
     * @param failed whether a part of the process has failed, which makes the exit code a failure
     * @return false if it had begun before
     */
    synchronized boolean begin(String reason, boolean failed) {
        if (mPhase != null) {
            return false;
        }
        mPhase = Phase.HANDING_OVER;
        mFailed = failed;
        mDeadline = mLoop.nowMillis() + mStopMillis;
        LOG.atInfo().log("drain: begins a planned stop: %s", reason);
        mRoster.report(new RosterInput.Leave());
        mSteps = mLoop.every(STEP_MILLIS, this::step, cause -> end());
        return true;
    }

    private void step() {
        long now = mLoop.nowMillis();
        boolean late = now >= mDeadline;
        Phase phase = mPhase;
        if (phase == null) {
            return;
        }
        switch (phase) {
            case HANDING_OVER -> {
                if (handedOver() || late) {
                    mPhaseUntil = now + mLookupLifetimeMillis.getAsLong() + SPREAD_MILLIS;
                    enter(Phase.SERVING_LOOKUPS);
                }
            }
            case SERVING_LOOKUPS -> {
                if (now >= mPhaseUntil || late) {
                    mState.stopping();
                    mPhaseUntil = now + QUIET_MILLIS;
                    enter(Phase.FINISHING);
                }
            }
            case FINISHING -> {
                if (mInFlight.getAsInt() > 0 && !late) {
                    mPhaseUntil = now + QUIET_MILLIS;
                } else if (now >= mPhaseUntil) {
                    mRoster.report(new RosterInput.Depart());
                    enter(Phase.LEAVING);
                }
            }
            case LEAVING -> {
                if (mRoster.left().isDone() || mRoster.superseded().isDone() || late) {
                    end();
                }
            }
            default -> {}
        }
    }

    // A process that is no member has nothing to hand over.
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
        if (mSteps != null) {
            mSteps.cancel();
        }
        mPhase = Phase.ENDED;
        if (mInFlight.getAsInt() > 0) {
            LOG.atWarning().log(
                    "drain: the time for the stop is over with %d requests in flight",
                    mInFlight.getAsInt());
        }
        LOG.atInfo().log("drain: ended");
        mEnded.complete(!mFailed);
    }
}
