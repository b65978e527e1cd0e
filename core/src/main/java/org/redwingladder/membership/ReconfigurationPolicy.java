package org.redwingladder.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides from one process's knowledge which change of the roster is due, whether the epoch may be
 * settled, which members are suspected and who receives heartbeats.
 *
 * @param self the deciding process
 * @param requestedState the membership state that it requests for itself
 * @param roster the adopted roster
 * @param peers the known state of other processes
 * @param schedule the heartbeat intervals
 * @param now the monotonic clock in milliseconds
 * @param adoptedAt when this process adopted the roster's epoch
 * @param detectingSince since when failure detection is active, {@code Long.MAX_VALUE} while it is
 *     not
 */
record ReconfigurationPolicy(
        Member self,
        RequestedState requestedState,
        Roster roster,
        PeerTable peers,
        HeartbeatSchedule schedule,
        long now,
        long adoptedAt,
        long detectingSince) {

    // After adopting an epoch, all members count as alive until their heartbeats can have arrived.
    private static final int GRACE_INTERVALS = 2;

    /**
     * Returns the position of this process among the live members in roster order. The process with
     * rank 0 writes the roster for the others; a process that is no member ranks after all of them.
     */
    int rank() {
        int rank = 0;
        boolean grace = now < adoptedAt + GRACE_INTERVALS * roster.heartbeatMillis();
        for (Member member : roster.members()) {
            if (member.id().equals(self.id())) {
                return rank;
            }
            long since =
                    now
                            - HeartbeatSchedule.SUSPICION_INTERVALS
                                    * expectedIntervalMillis(member.id());
            if (!peers.isTerminated(member.id())
                    && (grace || peers.lastContactAt(member.id()) >= since)) {
                rank++;
            }
        }
        return rank;
    }

    /** Returns whether this process is a member. */
    boolean isMember() {
        return roster.member(self.id()) != null;
    }

    /** Returns the heartbeat interval of this process in milliseconds. */
    long ownIntervalMillis(Set<String> services) {
        if (!isMember()) {
            return schedule.minOwnerIntervalMillis();
        }
        boolean owner = !Ownership.ownedBy(roster.members(), services, self.id()).isEmpty();
        return owner || roster.isVoter(self.id())
                ? roster.heartbeatMillis()
                : schedule.memberIntervalMillis(roster.members().size());
    }

    /**
     * Returns the processes to send a heartbeat to: all voters and, from the first live member and
     * the writer of the epoch, every member of this or the previous epoch that may lack the roster.
     * Other voters send to these too after a grace period, in case the first two cannot reach them.
     */
    List<Member> heartbeatTargets(boolean wroteEpoch) {
        List<Member> targets = new ArrayList<>(roster.voters());
        boolean graceExpired = now >= adoptedAt + GRACE_INTERVALS * roster.heartbeatMillis();
        if (wroteEpoch || rank() == 0 || (graceExpired && roster.isVoter(self.id()))) {
            for (Member member : roster.members()) {
                addIfOutdated(targets, member, peers.isUpToDate(member.id(), roster));
            }
            for (Member member : roster.previous()) {
                addIfOutdated(targets, member, leftEarlierEpochsAt(member.id()) != PeerTable.NEVER);
            }
        }
        targets.removeIf(target -> target.host().equals(self.host()));
        return targets;
    }

    private static void addIfOutdated(List<Member> targets, Member member, boolean upToDate) {
        if (!upToDate && Roster.find(targets, member.id()) == null) {
            targets.add(member);
        }
    }

    /** Returns the heartbeat interval expected of {@code id} in milliseconds. */
    long expectedIntervalMillis(MemberId id) {
        if (roster.isVoter(id)) {
            return roster.heartbeatMillis();
        }
        // Uses the interval that the sender reports, as it may not know yet that it owns a site.
        long longest = schedule.memberIntervalMillis(roster.members().size());
        long reported = peers.reportedIntervalMillis(id);
        return reported == 0
                ? longest
                : Math.min(longest, Math.max(reported, roster.heartbeatMillis()));
    }

    /**
     * Returns whether no owner of the previous epoch can still act: all its members have adopted
     * this epoch or terminated, or its leases have expired.
     */
    boolean maySettle() {
        boolean allLeft = true;
        for (Member member : roster.previous()) {
            allLeft &= leftEarlierEpochsAt(member.id()) != PeerTable.NEVER;
        }
        if (allLeft) {
            return true;
        }
        // The earliest time by which a quorum had left earlier epochs: the latest of negated times.
        long negatedLeftAt =
                Quorum.latest(
                        roster.previousVoters(),
                        id -> {
                            long at = leftEarlierEpochsAt(id);
                            return at == PeerTable.NEVER ? Long.MIN_VALUE : -at;
                        });
        return negatedLeftAt != Long.MIN_VALUE && now >= -negatedLeftAt + roster.settleWaitMillis();
    }

    /**
     * Returns the change of members that is due.
     *
     * @param mayJoin whether this process may add itself
     * @param hostsLeaving the hosts that the platform's list marks as leaving; null to ignore the
     *     list
     */
    RosterChange pendingChange(boolean mayJoin, @Nullable Set<String> hostsLeaving) {
        List<Member> joins = new ArrayList<>();
        long since = now - HeartbeatSchedule.SUSPICION_INTERVALS * roster.heartbeatMillis();
        for (Member member : peers.joinCandidates(roster.epoch(), since)) {
            addJoin(joins, member);
        }
        if (mayJoin && requestedState == RequestedState.SERVING) {
            addJoin(joins, self);
        }
        Set<MemberId> removals = new HashSet<>();
        Map<MemberId, Member.State> states = new HashMap<>();
        for (Member member : roster.members()) {
            RequestedState requested = requestedStateOf(member.id());
            if (requested == RequestedState.GONE
                    || peers.isTerminated(member.id())
                    || isSuspected(member.id())) {
                removals.add(member.id());
            } else {
                Member.State state = nextState(member, requested, hostsLeaving);
                if (state != member.state()) {
                    states.put(member.id(), state);
                }
            }
        }
        return new RosterChange(joins, states, removals);
    }

    private void addJoin(List<Member> joins, Member member) {
        Member listed = roster.memberOnHost(member.host());
        if (listed != null && listed.incarnation() >= member.incarnation()) {
            return;
        }
        for (int i = 0; i < joins.size(); i++) {
            if (joins.get(i).host().equals(member.host())) {
                if (member.incarnation() > joins.get(i).incarnation()) {
                    joins.set(i, member);
                }
                return;
            }
        }
        if (!peers.isTerminated(member.id())) {
            joins.add(member);
        }
    }

    private Member.State nextState(
            Member member, @Nullable RequestedState requested, @Nullable Set<String> hostsLeaving) {
        if (requested == RequestedState.LEAVING) {
            return Member.State.LEAVING;
        }
        if (hostsLeaving == null) {
            return member.state();
        }
        // A wrong list must not leave the zone without a serving member.
        if (hostsLeaving.contains(member.host()) && hasOtherServingMember(member, hostsLeaving)) {
            return Member.State.LEAVING;
        }
        return requested == RequestedState.SERVING ? Member.State.SERVING : member.state();
    }

    private boolean hasOtherServingMember(Member member, Set<String> hostsLeaving) {
        return roster.members().stream()
                .anyMatch(
                        other ->
                                other.serving()
                                        && !other.host().equals(member.host())
                                        && !hostsLeaving.contains(other.host()));
    }

    private boolean isSuspected(MemberId id) {
        if (id.equals(self.id()) || detectingSince == Long.MAX_VALUE) {
            return false;
        }
        long interval = expectedIntervalMillis(id);
        long suspicionMillis = HeartbeatSchedule.SUSPICION_INTERVALS * interval;
        if (now - Math.max(detectingSince, peers.lastHeartbeatAt(id)) > suspicionMillis) {
            return true;
        }
        // A voter whose heartbeats arrive but which receives no answers cannot renew its lease.
        return roster.isVoter(id)
                && now - Math.max(detectingSince, peers.lastLeaseReportAt(id))
                        > suspicionMillis + interval;
    }

    private @Nullable RequestedState requestedStateOf(MemberId id) {
        return id.equals(self.id()) ? requestedState : peers.requestedStateOf(id, roster.epoch());
    }

    private long leftEarlierEpochsAt(MemberId id) {
        return id.equals(self.id()) ? adoptedAt : peers.leftEarlierEpochsAt(id, roster.epoch());
    }
}
