package org.redwingladder.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Holds simpler ways to own sites, each of which breaks the rule of one owner. */
final class UnsafeNodes {
    private UnsafeNodes() {}

    /** Wraps a machine and changes what goes in or what is shown. */
    private static class Wrapper implements SimulatedProcess.Node {
        final MembershipStateMachine mMachine;
        final Member mSelf;

        Wrapper(Member self, String zone, HeartbeatSchedule schedule) {
            mSelf = self;
            mMachine = MembershipStateMachine.create(self, zone, schedule);
        }

        @Override
        public List<MembershipEffect> handle(MembershipEvent input, long now) {
            return mMachine.handle(input, now);
        }

        @Override
        public MembershipView view() {
            return mMachine.view();
        }
    }

    /** Acts as owner of what its latest roster gives it, confirmed or not. */
    static SimulatedProcess.Node ownerByLocalView(
            Member self, String zone, HeartbeatSchedule schedule) {
        return new Wrapper(self, zone, schedule) {
            @Override
            public MembershipView view() {
                MembershipView view = mMachine.view();
                return new MembershipView(
                        view.roster(),
                        view.member(),
                        view.sites(),
                        view.member() ? Long.MAX_VALUE : Long.MIN_VALUE);
            }
        };
    }

    /** Takes over as soon as the row names it, without waiting for the old owner. */
    static SimulatedProcess.Node takeoverAtOnce(
            Member self, String zone, HeartbeatSchedule schedule) {
        return new Wrapper(self, zone, schedule) {
            @Override
            public MembershipView view() {
                MembershipView view = mMachine.view();
                return new MembershipView(
                        view.roster(), view.member(), owned(view.roster()), view.leaseExpiresAt());
            }

            private Set<String> owned(@Nullable Roster roster) {
                return roster == null
                        ? Set.of()
                        : new HashSet<>(
                                Ownership.ownedBy(
                                        roster.members(), ZoneSimulation.SERVICES, mSelf.id()));
            }
        };
    }

    /** Counts an acknowledgement from the time at which it arrives. */
    static SimulatedProcess.Node countedFromArrival(
            Member self, String zone, HeartbeatSchedule schedule) {
        return new Wrapper(self, zone, schedule) {
            @Override
            public List<MembershipEffect> handle(MembershipEvent input, long now) {
                if (input instanceof MembershipEvent.HeartbeatAnswered answered) {
                    MembershipEffect.SendHeartbeat sent = answered.sent();
                    return mMachine.handle(
                            new MembershipEvent.HeartbeatAnswered(
                                    new MembershipEffect.SendHeartbeat(
                                            sent.to(), sent.heartbeat(), now),
                                    answered.answer()),
                            now);
                }
                return mMachine.handle(input, now);
            }
        };
    }

    /**
     * Holds a lease of 15 s that each read of the row renews, counted from the arrival of the
     * answer. The holder goes on while the others, whom it no longer reaches, give its sites away.
     */
    static SimulatedProcess.Node leaseInTheTable(
            Member self, String zone, HeartbeatSchedule schedule) {
        return new Wrapper(self, zone, schedule) {
            private long mLeaseUntil = Long.MIN_VALUE;

            @Override
            public List<MembershipEffect> handle(MembershipEvent input, long now) {
                List<MembershipEffect> effects = mMachine.handle(input, now);
                if (input instanceof MembershipEvent.RowRead
                        || input instanceof MembershipEvent.WriteSucceeded) {
                    mLeaseUntil = now + 15_000;
                }
                return effects;
            }

            @Override
            public MembershipView view() {
                MembershipView view = mMachine.view();
                return new MembershipView(
                        view.roster(),
                        view.member(),
                        view.sites(),
                        view.member() ? mLeaseUntil : Long.MIN_VALUE);
            }
        };
    }
}
