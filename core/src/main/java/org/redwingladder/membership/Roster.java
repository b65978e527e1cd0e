package org.redwingladder.membership;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The agreed membership of one availability zone, stored in the row {@code roster/<zone>}. Each
 * change of the members increments the epoch.
 *
 * @param zone the availability zone
 * @param epoch the number of the membership configuration, from 1
 * @param members the members in the order in which they joined
 * @param settledEpoch the highest epoch in which all owners of earlier epochs are known to have
 *     stopped
 * @param settingsFloor the lowest settings version with which a joining member may serve
 * @param heartbeatMillis the heartbeat interval of owners and voters in this epoch; stored because
 *     the settle wait is only correct if all members use the same interval
 * @param previous the members of the previous epoch while {@code settledEpoch < epoch}, else empty;
 *     stored so that any member can settle the epoch after its writer has crashed
 * @param settleWaitMillis how long after a quorum of the previous epoch has adopted this one its
 *     leases have expired; follows from the previous epoch's heartbeat interval, 0 once the epoch
 *     is settled
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

    /** The maximum number of voters of an epoch. */
    public static final int MAX_VOTERS = 7;

    public Roster {
        requireNonNull(zone, "zone");
        members = List.copyOf(members);
        previous = List.copyOf(previous);
    }

    /** Returns the key of the row that stores the roster of {@code zone}. */
    public static String key(String zone) {
        return "roster/" + zone;
    }

    /** Returns the roster of epoch 1 of a zone. */
    public static Roster initial(String zone, Member member, long floor, long heartbeatMillis) {
        return new Roster(zone, 1, List.of(member), 1, floor, heartbeatMillis, List.of(), 0);
    }

    /** Returns whether owners of this epoch may start without a release from the previous owner. */
    @JsonIgnore
    public boolean settled() {
        return settledEpoch == epoch;
    }

    /** Returns the voters of this epoch. */
    public List<Member> voters() {
        return votersOf(members);
    }

    /** Returns the voters of the previous epoch while this epoch is not settled, else none. */
    public List<Member> previousVoters() {
        return votersOf(previous);
    }

    /** Returns the member with the identity {@code id}, or null if there is none. */
    public @Nullable Member member(MemberId id) {
        return find(members, id);
    }

    /** Returns the member on {@code host}, or null if there is none. */
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

    /** Returns a copy of this roster in which the epoch is settled. */
    public Roster settle() {
        return new Roster(
                zone, epoch, members, epoch, settingsFloor, heartbeatMillis, List.of(), 0);
    }

    /** Returns a copy of this roster with at least the given settings floor. */
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

    /** Returns whether this roster was written after {@code other}. */
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
