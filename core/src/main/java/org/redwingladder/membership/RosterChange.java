package org.redwingladder.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A batch of joins, removals and state changes that is written as one new epoch.
 *
 * @param joins the processes to append; each replaces an older process of the same host
 * @param states the new states of listed members
 * @param removals the members to remove
 */
public record RosterChange(
        List<Member> joins, Map<MemberId, Member.State> states, Set<MemberId> removals) {

    public RosterChange {
        joins = List.copyOf(joins);
        states = Map.copyOf(states);
        removals = Set.copyOf(removals);
    }

    /** Returns whether this batch changes nothing. */
    public boolean isEmpty() {
        return joins.isEmpty() && states.isEmpty() && removals.isEmpty();
    }

    /**
     * Returns {@code members} with this change applied.
     *
     * @param members the members before the change
     */
    public List<Member> apply(List<Member> members) {
        List<Member> result = new ArrayList<>();
        for (Member member : members) {
            boolean replaced = joins.stream().anyMatch(join -> join.host().equals(member.host()));
            if (!replaced && !removals.contains(member.id())) {
                result.add(member.withState(states.getOrDefault(member.id(), member.state())));
            }
        }
        result.addAll(joins);
        return List.copyOf(result);
    }

    /**
     * Returns the roster of the next epoch.
     *
     * @param roster the settled roster to change
     * @param heartbeatMillis the heartbeat interval of owners and voters in the new epoch
     * @throws IllegalArgumentException if {@code roster} is not settled
     */
    public Roster applyTo(Roster roster, long heartbeatMillis) {
        if (!roster.settled()) {
            throw new IllegalArgumentException(
                    "epoch " + roster.epoch() + " of zone " + roster.zone() + " is not settled");
        }
        return new Roster(
                roster.zone(),
                roster.epoch() + 1,
                apply(roster.members()),
                roster.settledEpoch(),
                roster.settingsFloor(),
                heartbeatMillis,
                roster.members(),
                HeartbeatSchedule.settleWaitMillis(roster.heartbeatMillis()));
    }
}
