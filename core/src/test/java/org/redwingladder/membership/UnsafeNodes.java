package org.redwingladder.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Simplified protocol variants, each of which can give a site two owners. */
final class UnsafeNodes {
    private UnsafeNodes() {}

    /** Wraps a state machine and alters its events or its view. */
    private static class Wrapper implements SimulatedProcess.Node {
        final MembershipStateMachine mStateMachine;
        final Member mSelf;

        Wrapper(Member self, String zone, HeartbeatSchedule schedule) {
            mSelf = self;
            mStateMachine = MembershipStateMachine.create(self, zone, schedule);
        }

        @Override
        public List<MembershipEffect> handle(MembershipEvent event, long now) {
            return mStateMachine.handle(event, now);
        }

        @Override
        public MembershipView view() {
            return mStateMachine.view();
        }
    }

    /** Acts as the owner that its latest roster names, with or without a lease. */
    static SimulatedProcess.Node ownerWithoutLease(
            Member self, String zone, HeartbeatSchedule schedule) {
        return new Wrapper(self, zone, schedule) {
            @Override
            public MembershipView view() {
                MembershipView view = mStateMachine.view();
                return new MembershipView(
                        view.roster(),
                        view.member(),
                        view.sites(),
                        view.member() ? Long.MAX_VALUE : Long.MIN_VALUE);
            }
        };
    }

    /** Takes over as soon as the roster names it, without waiting for the previous owner. */
    static SimulatedProcess.Node takeoverWithoutSettleWait(
            Member self, String zone, HeartbeatSchedule schedule) {
        return new Wrapper(self, zone, schedule) {
            @Override
            public MembershipView view() {
                MembershipView view = mStateMachine.view();
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

    /** Starts the lease when an acknowledgement arrives instead of when its heartbeat was sent. */
    static SimulatedProcess.Node leaseFromAcknowledgementArrival(
            Member self, String zone, HeartbeatSchedule schedule) {
        return new Wrapper(self, zone, schedule) {
            @Override
            public List<MembershipEffect> handle(MembershipEvent event, long now) {
                if (event instanceof MembershipEvent.HeartbeatAnswered answered) {
                    MembershipEffect.SendHeartbeat sent = answered.sent();
                    return mStateMachine.handle(
                            new MembershipEvent.HeartbeatAnswered(
                                    new MembershipEffect.SendHeartbeat(
                                            sent.to(), sent.heartbeat(), now),
                                    answered.answer()),
                            now);
                }
                return mStateMachine.handle(event, now);
            }
        };
    }

    /**
     * Holds a lease of 15 s that each read of the row renews, from the arrival of the answer. A
     * partitioned holder that still reads the row keeps its lease while the others reassign its
     * sites.
     */
    static SimulatedProcess.Node leaseInRosterRow(
            Member self, String zone, HeartbeatSchedule schedule) {
        return new Wrapper(self, zone, schedule) {
            private long mLeaseUntil = Long.MIN_VALUE;

            @Override
            public List<MembershipEffect> handle(MembershipEvent event, long now) {
                List<MembershipEffect> effects = mStateMachine.handle(event, now);
                if (event instanceof MembershipEvent.RowRead
                        || event instanceof MembershipEvent.WriteSucceeded) {
                    mLeaseUntil = now + 15_000;
                }
                return effects;
            }

            @Override
            public MembershipView view() {
                MembershipView view = mStateMachine.view();
                return new MembershipView(
                        view.roster(),
                        view.member(),
                        view.sites(),
                        view.member() ? mLeaseUntil : Long.MIN_VALUE);
            }
        };
    }
}
