package org.redwingladder.membership;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Holds the agreed members of one availability zone, as kept in the row {@code roster/<zone>}.
 *
 * @param zone the availability zone
 * @param epoch counts the changes of the members, from 1
 * @param members the members in the order in which they joined
 * @param settledEpoch the highest epoch of which every earlier owner has stopped
 * @param settingsFloor the lowest settings version that a joining member may serve by
 * @param heartbeatMillis the heartbeat interval of owners and voters in this epoch; kept in the row
 *     because the settle wait is only right when all members use the same one
 * @param previous the members of the epoch before while {@code settledEpoch < epoch}, else empty;
 *     kept in the row so that any member can settle the epoch after its writer has died
 * @param settleWaitMillis the settle wait that follows from the heartbeat interval of the epoch
 *     before, 0 once the epoch is settled
 */
public record Roster(
        String zone,
        long epoch,
        List<Member> members,
        long settledEpoch,
        long settingsFloor,
        long heartbeatMillis,
        List<Member> previous,
        long settleWaitMillis) {

    /** Limits the voters of an epoch. */
    public static final int MAX_VOTERS = 7;

    /** Copies the lists. */
    public Roster {
        requireNonNull(zone, "zone");
        members = List.copyOf(members);
        previous = List.copyOf(previous);
    }

    /** Returns the key of the row that holds the roster of {@code zone}. */
    public static String key(String zone) {
        return "roster/" + zone;
    }

    /** Returns the first roster of a zone. */
    public static Roster initial(String zone, Member member, long floor, long heartbeatMillis) {
        return new Roster(zone, 1, List.of(member), 1, floor, heartbeatMillis, List.of(), 0);
    }

    /** Returns whether owners of this epoch may start without a release. */
    @JsonIgnore
    public boolean settled() {
        return settledEpoch == epoch;
    }

    /** Returns the voters of this epoch. */
    public List<Member> voters() {
        return votersOf(members);
    }

    /** Returns the voters of the epoch before, while this epoch is not settled. */
    public List<Member> previousVoters() {
        return votersOf(previous);
    }

    /** Returns the listed process {@code id}, if it is a member. */
    public @Nullable Member member(MemberId id) {
        return find(members, id);
    }

    /** Returns the listed process of {@code host}, if there is one. */
    public @Nullable Member memberOnHost(String host) {
        for (Member member : members) {
            if (member.host().equals(host)) {
                return member;
            }
        }
        return null;
    }

    /** Returns whether {@code id} is one of the voters. */
    public boolean isVoter(MemberId id) {
        return find(voters(), id) != null;
    }

    /** Returns this roster with its epoch settled. */
    public Roster settle() {
        return new Roster(
                zone, epoch, members, epoch, settingsFloor, heartbeatMillis, List.of(), 0);
    }

    /** Returns this roster with at least the given settings floor. */
    public Roster withSettingsFloor(long floor) {
        return new Roster(
                zone,
                epoch,
                members,
                settledEpoch,
                Math.max(floor, settingsFloor),
                heartbeatMillis,
                previous,
                settleWaitMillis);
    }

    /** Returns whether this roster holds later information than {@code other}. */
    public boolean isNewerThan(@Nullable Roster other) {
        if (other == null || epoch != other.epoch) {
            return other == null || epoch > other.epoch;
        }
        if (settledEpoch != other.settledEpoch) {
            return settledEpoch > other.settledEpoch;
        }
        return settingsFloor > other.settingsFloor;
    }

    static @Nullable Member find(List<Member> members, MemberId id) {
        for (Member member : members) {
            if (member.id().equals(id)) {
                return member;
            }
        }
        return null;
    }

    private static List<Member> votersOf(List<Member> members) {
        return members.subList(0, Math.min(MAX_VOTERS, members.size()));
    }
}
