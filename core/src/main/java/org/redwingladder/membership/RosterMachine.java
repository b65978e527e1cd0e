package org.redwingladder.membership;

import java.util.List;
import java.util.Set;

/**
 * Decides for one process how its zone's roster changes, which sites it owns and until when it may
 * act as their owner. It has no sockets, clock or threads of its own.
 */
public final class RosterMachine {
    private final Member mSelf;
    private final String mZone;
    private final HeartbeatSchedule mSchedule;

    private RosterMachine(Member self, String zone, HeartbeatSchedule schedule) {
        mSelf = self;
        mZone = zone;
        mSchedule = schedule;
    }

    /** Returns a machine for the process {@code self}, which is not a member yet. */
    public static RosterMachine create(Member self, String zone, HeartbeatSchedule schedule) {
        return new RosterMachine(self, zone, schedule);
    }

    /**
     * Takes in what happened.
     *
     * @param now the monotonic clock in milliseconds
     * @return what to do, in this order
     */
    public List<RosterEffect> handle(RosterInput input, long now) {
        return List.of();
    }

    /** Returns the state that request handling needs. */
    public RosterView view() {
        return new RosterView(null, false, Set.of(), Long.MIN_VALUE);
    }

    @Override
    public String toString() {
        return mZone + ":" + mSelf.id() + mSchedule;
    }
}
