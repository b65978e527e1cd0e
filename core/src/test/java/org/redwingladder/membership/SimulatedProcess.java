package org.redwingladder.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** One process of a simulated zone, with its own clock. */
final class SimulatedProcess {
    enum State {
        RUNNING,
        PAUSED,
        DEAD
    }

    /** The protocol of one process, such as {@link MembershipStateMachine}. */
    interface Node {
        List<MembershipEffect> handle(MembershipEvent event, long now);

        MembershipView view();
    }

    /** Creates the protocol instances of a zone's processes. */
    interface NodeFactory {
        Node create(Member self, String zone, HeartbeatSchedule schedule);
    }

    final Member mSelf;
    final Node mNode;
    final double mClockRate;
    final long mClockOffset;

    /** The events that arrived during a pause. */
    final Deque<Runnable> mDelayedEvents = new ArrayDeque<>();

    /** The effects that were returned but not executed before a pause. */
    final Deque<Runnable> mPendingEffects = new ArrayDeque<>();

    State mState = State.RUNNING;
    MembershipView mView;
    boolean mDeregistered;
    boolean mSuperseded;

    /** Requests a pause that begins before the answers to the next heartbeats arrive. */
    boolean mPauseAfterHeartbeat;

    SimulatedProcess(Member self, Node node, double clockRate, long clockOffset) {
        mSelf = self;
        mNode = node;
        mClockRate = clockRate;
        mClockOffset = clockOffset;
        mView = node.view();
    }

    /** Passes an event to the node. */
    List<MembershipEffect> handle(MembershipEvent event, long time) {
        List<MembershipEffect> effects = mNode.handle(event, clock(time));
        mView = mNode.view();
        return effects;
    }

    /** Returns the monotonic clock of the process, which runs on during a pause. */
    long clock(long time) {
        return mClockOffset + (long) (time * mClockRate);
    }

    /**
     * Returns whether a backend server could start a request of {@code service} that this process
     * sends. A process that is paused between its lease check and the first byte sends on resuming,
     * and a backend server whose wall clock is 500 ms behind accepts the request that much later.
     */
    boolean maySend(String service, long time) {
        long clockSkewMillis = mState == State.PAUSED ? 500 : 0;
        return mState != State.DEAD && mView.maySend(service, clock(time) - clockSkewMillis);
    }

    @Override
    public String toString() {
        return mSelf.id()
                + " "
                + mState
                + (mDeregistered ? " left" : "")
                + (mSuperseded ? " superseded" : "")
                + " "
                + mView;
    }
}
