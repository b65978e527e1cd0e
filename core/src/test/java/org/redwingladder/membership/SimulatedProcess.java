package org.redwingladder.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Holds one process of a simulated zone. */
final class SimulatedProcess {
    enum State {
        RUNNING,
        PAUSED,
        DEAD
    }

    /** Decides for one process, as {@link MembershipStateMachine} does. */
    interface Node {
        List<MembershipEffect> handle(MembershipEvent input, long now);

        MembershipView view();
    }

    /** Creates the nodes of a zone. */
    interface Mechanism {
        Node create(Member self, String zone, HeartbeatSchedule schedule);
    }

    final Member mSelf;
    final Node mNode;
    final double mClockRate;
    final long mClockOffset;

    /** Holds the inputs that arrived during a pause. */
    final Deque<Runnable> mInbox = new ArrayDeque<>();

    /** Holds the effects that were decided on before a pause. */
    final Deque<Runnable> mEffects = new ArrayDeque<>();

    State mState = State.RUNNING;
    MembershipView mView;
    boolean mLeft;
    boolean mSuperseded;

    /** Asks for a pause that begins before the answers to the next heartbeats arrive. */
    boolean mPauseAfterHeartbeat;

    SimulatedProcess(Member self, Node node, double clockRate, long clockOffset) {
        mSelf = self;
        mNode = node;
        mClockRate = clockRate;
        mClockOffset = clockOffset;
        mView = node.view();
    }

    /** Hands an input to the node. */
    List<MembershipEffect> handle(MembershipEvent input, long time) {
        List<MembershipEffect> decided = mNode.handle(input, clock(time));
        mView = mNode.view();
        return decided;
    }

    /** Returns the monotonic clock of the process, which goes on during a pause. */
    long clock(long time) {
        return mClockOffset + (long) (time * mClockRate);
    }

    /**
     * Returns whether a request of {@code service} that this process sends could be started. A
     * process that is paused between its check and the first byte sends when it wakes, and a
     * backend server whose wall clock is 500 ms behind starts it that much later.
     */
    boolean maySend(String service, long time) {
        long slack = mState == State.PAUSED ? 500 : 0;
        return mState != State.DEAD && mView.maySend(service, clock(time) - slack);
    }

    @Override
    public String toString() {
        return mSelf.id()
                + " "
                + mState
                + (mLeft ? " left" : "")
                + (mSuperseded ? " superseded" : "")
                + " "
                + mView;
    }
}
