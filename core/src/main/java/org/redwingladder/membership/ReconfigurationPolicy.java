package org.redwingladder.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Derives what should be written to a roster from what one process knows.
 *
 * @param self the process that decides
 * @param requestedState what it asks for itself
 * @param roster the adopted roster
 * @param peers what other processes said
 * @param schedule the periods
 * @param now the monotonic clock
 * @param adoptedAt when this process adopted the roster's epoch
 * @param watchingSince since when silence of other members counts, {@code Long.MAX_VALUE} while
 *     this process may not suspect anybody
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

    // A process that has just learned an epoch takes all for alive until it can have heard them.
    private static final int GRACE_INTERVALS = 2;

    /**
     * Returns the position of this process among the members that seem alive. The process with rank
     * 0 writes for the others; a process that is not listed comes after all of them.
     */
    int rank() {
        int rank = 0;
        boolean grace = now < adoptedAt + GRACE_INTERVALS * roster.heartbeatMillis();
        for (Member member : roster.members()) {
            if (member.id().equals(self.id())) {
                return rank;
            }
            long since = now - HeartbeatSchedule.SUSPICION_INTERVALS * expectedIntervalMillis(member.id());
            if (!peers.isTerminated(member.id()) && (grace || peers.lastContactAt(member.id()) >= since)) {
                rank++;
            }
        }
        return rank;
    }

    /** Returns whether this process is listed. */
    boolean isListed() {
        return roster.member(self.id()) != null;
    }

    /** Returns the interval of this process. */
    long ownInterval(Set<String> services) {
        if (!isListed()) {
            return schedule.minOwnerIntervalMillis();
        }
        boolean owner = !Ownership.ownedBy(roster.members(), services, self.id()).isEmpty();
        return owner || roster.isVoter(self.id())
                ? roster.heartbeatMillis()
                : schedule.memberIntervalMillis(roster.members().size());
    }

    /**
     * Returns the listed processes to send a heartbeat to: all voters and, from the first live
     * member and the writer of the epoch, every process that it concerns and that may lack it.
     * Other voters join in later, in case these two do not reach some process.
     */
    List<Member> heartbeatTargets(boolean wroteEpoch) {
        List<Member> targets = new ArrayList<>(roster.voters());
        boolean late = now >= adoptedAt + GRACE_INTERVALS * roster.heartbeatMillis();
        if (wroteEpoch || rank() == 0 || (late && roster.isVoter(self.id()))) {
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

    /** Returns the interval that {@code id} has to keep. */
    long expectedIntervalMillis(MemberId id) {
        if (roster.isVoter(id)) {
            return roster.heartbeatMillis();
        }
        // The sender's own statement counts, because it may not know yet that it owns a site.
        long longest = schedule.memberIntervalMillis(roster.members().size());
        long stated = peers.reportedIntervalMillis(id);
        return stated == 0
                ? longest
                : Math.min(longest, Math.max(stated, roster.heartbeatMillis()));
    }

    /** Returns whether nobody acts under the epoch before any more, as far as is known. */
    boolean maySettle() {
        boolean all = true;
        for (Member member : roster.previous()) {
            all &= leftEarlierEpochsAt(member.id()) != PeerTable.NEVER;
        }
        if (all) {
            return true;
        }
        // The earliest time by which a quorum had learned the epoch, by the latest of negated
        // times.
        long learned =
                Quorum.latest(
                        roster.previousVoters(),
                        id -> {
                            long at = leftEarlierEpochsAt(id);
                            return at == PeerTable.NEVER ? Long.MIN_VALUE : -at;
                        });
        return learned != Long.MIN_VALUE && now >= -learned + roster.settleWaitMillis();
    }

    /**
     * Returns the change of members that is due.
     *
     * @param mayJoin whether this process may add itself
     * @param hinted the hosts that the platform's list names as leaving; null to keep their state
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
            if (requested == RequestedState.GONE || peers.isTerminated(member.id()) || isSuspected(member.id())) {
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
        // A wrong list must not leave the zone without an owner.
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
        // A voter that is heard but reached by no answer cannot act for its sites.
        return roster.isVoter(id)
                && now - Math.max(detectingSince, peers.lastLeaseReportAt(id)) > suspicionMillis + interval;
    }

    private @Nullable RequestedState requestedStateOf(MemberId id) {
        return id.equals(self.id()) ? requestedState : peers.requestedStateOf(id, roster.epoch());
    }

    private long leftEarlierEpochsAt(MemberId id) {
        return id.equals(self.id()) ? adoptedAt : peers.leftEarlierEpochsAt(id, roster.epoch());
    }
}
