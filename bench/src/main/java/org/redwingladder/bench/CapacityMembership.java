package org.redwingladder.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;
import org.redwingladder.membership.Heartbeat;
import org.redwingladder.membership.HeartbeatAnswer;
import org.redwingladder.membership.HeartbeatSchedule;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.MembershipEffect;
import org.redwingladder.membership.MembershipEvent;
import org.redwingladder.membership.MembershipStateMachine;
import org.redwingladder.membership.RequestedState;
import org.redwingladder.membership.Roster;
import org.redwingladder.membership.VersionedRoster;

/** Measures the heartbeats and roster changes of a zone. */
final class CapacityMembership {
    private static final String ZONE = "zone-17";
    private static final long SETTLED_EPOCH = 2;

    private CapacityMembership() {}

    /** Returns the cost of one heartbeat at the voter that receives it. */
    static CapacityLine heartbeat(int members, CapacityHttp.Heads heads) {
        MembershipStateMachine voter = voter(members);
        Heartbeat heartbeat = heartbeat(member(members - 1), null);
        byte[] request = Json.write(heartbeat);
        long answerBytes = answer(voter, heartbeat, 0).length;
        AtomicLong now = new AtomicLong(1);
        double micros =
                CapacityMeter.cpuMicros(
                        () -> answer(voter, read(request), now.addAndGet(100) / 100));
        return new CapacityLine(
                "membership: one heartbeat at a voter",
                members + " members",
                request.length + answerBytes + heads.requestBytes() + heads.answerBytes(),
                micros,
                CapacityMeter.retainedBytes(() -> voter(members)));
    }

    /** Returns the cost of a heartbeat that carries a roster, once for each member and change. */
    static CapacityLine rosterChange(int members, CapacityHttp.Heads heads) {
        MembershipStateMachine voter = voter(members);
        byte[] request = Json.write(heartbeat(member(0), roster(members)));
        double micros = CapacityMeter.cpuMicros(() -> answer(voter, read(request), 1));
        return new CapacityLine(
                "membership: a roster handed on",
                members + " members",
                request.length + heads.requestBytes() + heads.answerBytes(),
                micros,
                0);
    }

    static Member member(int index) {
        String address = "10." + index / 256 + "." + index % 256 + ".7";
        return new Member(
                "entry-" + index,
                1_790_000_000_000L + index,
                address + ":7401",
                address + ":7400",
                Member.State.SERVING);
    }

    static List<Member> members(int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(member(i));
        }
        return members;
    }

    private static Roster roster(int members) {
        return new Roster(
                ZONE, SETTLED_EPOCH, members(members), SETTLED_EPOCH, 0, 1000, List.of(), 0);
    }

    private static Heartbeat heartbeat(Member from, Roster roster) {
        return new Heartbeat(
                from.host(),
                from.incarnation(),
                ZONE,
                SETTLED_EPOCH,
                SETTLED_EPOCH,
                123_456,
                1_790_000_000_000L,
                from.peerAddress(),
                from.clientAddress(),
                RequestedState.SERVING,
                true,
                1000,
                roster);
    }

    /** Returns a machine that is the first voter of a settled roster. */
    private static MembershipStateMachine voter(int members) {
        Member self = member(0);
        MembershipStateMachine machine =
                MembershipStateMachine.create(self, ZONE, HeartbeatSchedule.DEFAULT);
        machine.handle(new MembershipEvent.SettingsChanged(1, Set.of("catalogue", "checkout")), 0);
        machine.handle(new MembershipEvent.RowRead(null), 0);
        Roster first = Roster.initial(ZONE, self, 0, 1000);
        machine.handle(new MembershipEvent.WriteSucceeded(new VersionedRoster(1, first)), 0);
        machine.handle(
                new MembershipEvent.HeartbeatReceived(heartbeat(member(1), roster(members))), 0);
        return machine;
    }

    private static byte[] answer(MembershipStateMachine voter, Heartbeat heartbeat, long now) {
        byte[] bytes = new byte[0];
        for (MembershipEffect effect :
                voter.handle(new MembershipEvent.HeartbeatReceived(heartbeat), now)) {
            if (effect instanceof MembershipEffect.AnswerHeartbeat answered) {
                HeartbeatAnswer answer = answered.answer();
                bytes = Json.write(answer);
            }
        }
        return bytes;
    }

    private static Heartbeat read(byte[] request) {
        try {
            return Json.read(request, Heartbeat.class);
        } catch (JsonException e) {
            throw new IllegalStateException("a heartbeat does not read back", e);
        }
    }
}
