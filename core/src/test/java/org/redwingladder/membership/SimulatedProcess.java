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

    /** Decides for one process, as {@link RosterMachine} does. */
    interface Node {
        List<RosterEffect> handle(RosterInput input, long now);

        RosterView view();
    }

    /** Creates the nodes of a zone. */
    interface Mechanism {
        Node create(Member self, String zone, HeartbeatSchedule schedule);
    }

    final Member self;
    final Node node;
    final double clockRate;
    final long clockOffset;

    /** Holds the inputs that arrived during a pause. */
    final Deque<Runnable> inbox = new ArrayDeque<>();

    /** Holds the effects that were decided on before a pause. */
    final Deque<Runnable> effects = new ArrayDeque<>();

    State state = State.RUNNING;
    RosterView view;
    boolean left;
    boolean superseded;

    /** Asks for a pause that begins before the answers to the next heartbeats arrive. */
    boolean pauseAfterHeartbeat;

    SimulatedProcess(Member self, Node node, double clockRate, long clockOffset) {
        this.self = self;
        this.node = node;
        this.clockRate = clockRate;
        this.clockOffset = clockOffset;
        view = node.view();
    }

    /** Hands an input to the node. */
    List<RosterEffect> handle(RosterInput input, long time) {
        List<RosterEffect> decided = node.handle(input, clock(time));
        view = node.view();
        return decided;
    }

    /** Returns the monotonic clock of the process, which goes on during a pause. */
    long clock(long time) {
        return clockOffset + (long) (time * clockRate);
    }

    /**
     * Returns whether a request of {@code service} that this process sends could be started. A
     * process that is paused between its check and the first byte sends when it wakes, and a
     * backend server whose wall clock is 500 ms behind starts it that much later.
     */
    boolean maySend(String service, long time) {
        long slack = state == State.PAUSED ? 500 : 0;
        return state != State.DEAD && view.maySend(service, clock(time) - slack);
    }

    @Override
    public String toString() {
        return self.id()
                + " "
                + state
                + (left ? " left" : "")
                + (superseded ? " superseded" : "")
                + " "
                + view;
    }
}
