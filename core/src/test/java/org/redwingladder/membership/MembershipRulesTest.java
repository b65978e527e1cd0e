package org.redwingladder.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembershipRulesTest {
    private static List<Member> members(int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String address = "10.0.0." + i + ":7000";
            members.add(new Member("h" + i, 1, address, address, Member.State.SERVING));
        }
        return members;
    }

    private static Roster roster(int count) {
        return new Roster("suva", 3, members(count), 3, 0, 1000, List.of(), 0);
    }

    private static Set<MemberId> subset(List<Member> members, int bits) {
        Set<MemberId> chosen = new HashSet<>();
        for (int i = 0; i < members.size(); i++) {
            if ((bits & (1 << i)) != 0) {
                chosen.add(members.get(i).id());
            }
        }
        return chosen;
    }

    @Nested
    class QuorumRules {
        /** Guards against disjoint quorums, which could grant two leases at the same time. */
        @Test
        void anyTwoQuorumsIntersect() {
            for (int count = 1; count <= Roster.MAX_VOTERS; count++) {
                List<Member> voters = members(count);
                List<Set<MemberId>> quorums = new ArrayList<>();
                for (int bits = 0; bits < 1 << count; bits++) {
                    Set<MemberId> chosen = subset(voters, bits);
                    boolean expected =
                            2 * chosen.size() > count
                                    || (2 * chosen.size() == count
                                            && chosen.contains(voters.get(0).id()));
                    assertThat(Quorum.isReached(voters, chosen::contains)).isEqualTo(expected);
                    if (expected) {
                        quorums.add(chosen);
                    }
                }
                for (Set<MemberId> one : quorums) {
                    assertThat(quorums).allMatch(other -> other.stream().anyMatch(one::contains));
                }
            }
        }

        /** Guards against a lease that starts later than a quorum's acknowledgements support. */
        @Test
        void latestEqualsMaximumOverAllQuorums() {
            for (int count = 1; count <= 6; count++) {
                List<Member> voters = members(count);
                for (int seed = 0; seed < 50; seed++) {
                    java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
                    Map<MemberId, Long> times = new java.util.HashMap<>();
                    voters.forEach(voter -> times.put(voter.id(), random.nextLong(10)));
                    long best = Long.MIN_VALUE;
                    for (int bits = 1; bits < 1 << count; bits++) {
                        Set<MemberId> chosen = subset(voters, bits);
                        if (Quorum.isReached(voters, chosen::contains)) {
                            long oldest = chosen.stream().mapToLong(times::get).min().getAsLong();
                            best = Math.max(best, oldest);
                        }
                    }
                    assertThat(Quorum.latest(voters, times::get))
                            .as("%d voters, seed %d", count, seed)
                            .isEqualTo(best);
                }
            }
        }
    }

    @Nested
    class OwnershipRules {
        /** Guards against a removal that moves sites of the remaining members. */
        @Test
        void removalMovesOnlySitesOfRemovedMember() {
            List<Member> before = members(9);
            List<Member> after = new ArrayList<>(before);
            Member removed = after.remove(4);
            for (int i = 0; i < 200; i++) {
                String service = "s" + i;
                Member owner = Ownership.ownerOf(before, service);
                if (!owner.equals(removed)) {
                    assertThat(Ownership.ownerOf(after, service)).isEqualTo(owner);
                }
            }
        }

        /** Guards against a draining member that owns a site. */
        @Test
        void drainingMemberOwnsNoSite() {
            List<Member> members = members(2);
            members.set(0, members.get(0).withState(Member.State.LEAVING));
            assertThat(Ownership.ownerOf(members, "s")).isEqualTo(members.get(1));
            members.set(1, members.get(1).withState(Member.State.LEAVING));
            assertThat(Ownership.ownerOf(members, "s")).isNull();
        }
    }

    @Nested
    class QuorumLeases {
        private final Roster mRoster = roster(4);
        private final QuorumLease mLease = QuorumLease.of(mRoster);

        private MemberId voter(int number) {
            return mRoster.members().get(number).id();
        }

        /** Guards against a lease that starts when the acknowledgement arrives. */
        @Test
        void expiresSixIntervalsAfterOldestHeartbeatOfQuorum() {
            mLease.recordAcknowledgement(voter(1), 3, 100);
            mLease.recordAcknowledgement(voter(2), 3, 200);
            assertThat(mLease.isValidAt(201)).isFalse();
            mLease.recordAcknowledgement(voter(3), 3, 300);
            assertThat(mLease.expiresAt()).isEqualTo(6100);
        }

        /** Guards against acknowledgements from another incarnation or for another epoch. */
        @Test
        void ignoresAcknowledgementsOfOtherProcessesAndEpochs() {
            mLease.recordAcknowledgement(voter(0), 3, 100);
            mLease.recordAcknowledgement(new MemberId("h1", 2), 3, 100);
            mLease.recordAcknowledgement(voter(2), 2, 100);
            assertThat(mLease.isValidAt(101)).isFalse();
        }
    }

    @Nested
    class RosterChanges {
        /** Guards against a change of an epoch while owners of earlier epochs may still act. */
        @Test
        void areRejectedWhileEpochIsNotSettled() {
            RosterChange change =
                    new RosterChange(List.of(), Map.of(), Set.of(new MemberId("h1", 1)));
            Roster next = change.applyTo(roster(3), 1000);
            assertThat(next.epoch()).isEqualTo(4);
            assertThat(next.settled()).isFalse();
            assertThat(next.previous()).hasSize(3);
            assertThatThrownBy(() -> change.applyTo(next, 1000))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("not settled");
        }

        /** Guards against a duplicate roster entry for a restarted host. */
        @Test
        void newIncarnationReplacesOldOne() {
            Member again = new Member("h1", 2, "10.0.0.1:7", "10.0.0.1:8", Member.State.SERVING);
            List<Member> members =
                    new RosterChange(List.of(again), Map.of(), Set.of()).apply(members(3));
            assertThat(members).extracting(Member::id).endsWith(again.id()).hasSize(3);
        }

        /** Guards against a roster that changes in JSON serialization. */
        @Test
        void surviveJsonRoundTrip() throws Exception {
            Roster roster =
                    new RosterChange(List.of(), Map.of(), Set.of(new MemberId("h1", 1)))
                            .applyTo(roster(3), 1000);
            ObjectMapper mapper = new ObjectMapper();
            assertThat(mapper.readValue(mapper.writeValueAsString(roster), Roster.class))
                    .isEqualTo(roster);
        }
    }

    @Nested
    class ZoneDirectories {
        /** Guards against an older summary that overwrites a newer one in anti-entropy. */
        @Test
        void exchangeConvergesOnNewestSummaries() {
            ZoneDirectory one = ZoneDirectory.create();
            ZoneDirectory other = ZoneDirectory.create();
            ZoneSummary old = ZoneSummary.of(roster(2));
            ZoneSummary newer = new ZoneSummary("suva", 4, 0, members(3));
            ZoneSummary nadi = new ZoneSummary("nadi", 1, 1, members(1));
            one.merge(List.of(old, nadi));
            other.merge(List.of(newer));

            assertThat(one.merge(other.summariesNewerThan(one.digests()))).isTrue();
            assertThat(other.merge(one.summariesNewerThan(other.digests()))).isTrue();
            assertThat(one.merge(List.of(old))).isFalse();

            assertThat(one.zones()).containsExactly(nadi, newer);
            assertThat(other.digests()).isEqualTo(one.digests());
        }
    }
}
