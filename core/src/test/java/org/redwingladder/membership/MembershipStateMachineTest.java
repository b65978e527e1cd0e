package org.redwingladder.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.membership.FaultInjectionScenario.Fault;

class MembershipStateMachineTest {
    private static void runAndCheck(
            long seed,
            SimulatedProcess.NodeFactory nodeFactory,
            List<Fault> faults,
            List<Integer> steps) {
        String name = "seed " + seed + " " + faults + " before steps " + steps;
        try {
            FaultInjectionScenario scenario =
                    new FaultInjectionScenario(seed, nodeFactory, faults, steps);
            scenario.run();
            assertThat(scenario.mZone.servicesWithoutOwner())
                    .as(
                            "%s: services without owner at the end; row %s; processes %s",
                            name, scenario.mZone.mTable.current(), scenario.mZone.mProcesses)
                    .isEmpty();
        } catch (ZoneSimulation.TwoOwnersException e) {
            throw new ZoneSimulation.TwoOwnersException(name + ": " + e.getMessage());
        }
    }

    private static int stepsOf(SimulatedProcess.NodeFactory nodeFactory) {
        return new FaultInjectionScenario(1, nodeFactory, List.of(), List.of()).run();
    }

    /** Returns the first violation under single faults at all steps, or an empty string. */
    private static String firstViolation(SimulatedProcess.NodeFactory nodeFactory) {
        int seed = 0;
        int steps = stepsOf(ZoneSimulation::stateMachine);
        for (Fault fault : List.of(Fault.PAUSE, Fault.PARTITION, Fault.PAUSE_BEFORE_ANSWERS)) {
            for (int step = 0; step < steps; step += 3) {
                try {
                    new FaultInjectionScenario(seed++, nodeFactory, List.of(fault), List.of(step))
                            .run();
                } catch (ZoneSimulation.TwoOwnersException e) {
                    return e.getMessage();
                }
            }
        }
        return "";
    }

    @Nested
    class SingleFault {
        /**
         * Guards against two owners of a site, and against a zone that does not recover, after a
         * single fault at any step of joins, a planned stop and a failover.
         */
        @Test
        void keepsSingleOwnerAndRecovers() {
            int steps = stepsOf(ZoneSimulation::stateMachine);
            assertThat(steps).isGreaterThan(50);
            int seed = 0;
            for (Fault fault : Fault.values()) {
                for (int step = fault.ordinal() % 3; step < steps; step += 3) {
                    runAndCheck(
                            seed++, ZoneSimulation::stateMachine, List.of(fault), List.of(step));
                }
            }
        }
    }

    @Nested
    class TwoFaults {
        /** Guards against two owners of a site when a second fault occurs during recovery. */
        @Test
        void keepsSingleOwnerAndRecovers() {
            int steps = stepsOf(ZoneSimulation::stateMachine);
            SplittableRandom random = new SplittableRandom(7);
            int seed = 10_000;
            for (Fault first : Fault.values()) {
                for (Fault second : Fault.values()) {
                    for (int i = 0; i < 3; i++) {
                        int step = random.nextInt(steps);
                        int later = step + random.nextInt(1, 30);
                        runAndCheck(
                                seed++,
                                ZoneSimulation::stateMachine,
                                List.of(first, second),
                                List.of(step, later));
                    }
                }
            }
        }
    }

    @Nested
    class NoFaults {
        /** Guards against a site without owner during a planned stop. */
        @Test
        void plannedStopHandsOverWithoutDowntime() {
            ZoneSimulation zone = new ZoneSimulation(3, ZoneSimulation::stateMachine);
            List<SimulatedProcess> processes = new ArrayList<>();
            for (String host : List.of("a", "b", "c", "d")) {
                processes.add(zone.start(host));
            }
            zone.runUntil(10_000);
            assertThat(zone.servicesWithoutOwner()).isEmpty();
            zone.deliver(processes.get(1), new MembershipEvent.Drain());
            long longest = 0;
            long unservedSince = -1;
            for (long time = 10_001; time < 14_000; time++) {
                zone.runUntil(time);
                if (zone.servicesWithoutOwner().isEmpty()) {
                    unservedSince = -1;
                } else {
                    unservedSince = unservedSince < 0 ? time : unservedSince;
                    longest = Math.max(longest, time - unservedSince + 1);
                }
            }
            assertThat(processes.get(1).mView.sites()).isEmpty();
            // One round trip replicates the epoch, a second one grants the new owners their leases.
            assertThat(longest).isLessThanOrEqualTo(25);
        }

        /** Guards against leases that depend on reads or writes of the platform's table. */
        @Test
        void keepsServingDuringPlatformOutage() {
            ZoneSimulation zone = new ZoneSimulation(4, ZoneSimulation::stateMachine);
            for (String host : List.of("a", "b", "c", "d")) {
                zone.start(host);
            }
            zone.runUntil(10_000);
            zone.mPlatformDown = true;
            for (long time = 10_000; time < 3_610_000; time += 500) {
                zone.runUntil(time);
                assertThat(zone.servicesWithoutOwner()).as("at %d", time).isEmpty();
            }
        }

        /** Guards against a minority that keeps serving in a partitioned zone. */
        @Test
        void minorityStopsServingUnderPartition() {
            ZoneSimulation zone = new ZoneSimulation(5, ZoneSimulation::stateMachine);
            List<SimulatedProcess> processes = new ArrayList<>();
            for (String host : List.of("a", "b", "c", "d")) {
                processes.add(zone.start(host));
                zone.runUntil(zone.time() + 3000);
            }
            zone.mPlatformDown = true;
            for (String left : List.of("a", "b")) {
                for (String right : List.of("c", "d")) {
                    zone.mBlockedLinks.add(left + ">" + right);
                    zone.mBlockedLinks.add(right + ">" + left);
                }
            }
            zone.runUntil(zone.time() + 30_000);
            assertThat(processes.get(0).mView.roster().voters().get(0).host()).isEqualTo("a");
            for (SimulatedProcess process : processes) {
                boolean serves =
                        ZoneSimulation.SERVICES.stream()
                                .anyMatch(service -> process.maySend(service, zone.time()));
                boolean inQuorum = List.of("a", "b").contains(process.mSelf.host());
                assertThat(serves && !inQuorum).as("%s", process).isFalse();
                if (inQuorum && !process.mView.sites().isEmpty()) {
                    assertThat(serves).as("%s", process).isTrue();
                }
            }
        }

        /** Guards against a zone without owners after a restart of all its hosts. */
        @Test
        void recoversFromRestartOfAllHosts() {
            ZoneSimulation zone = new ZoneSimulation(6, ZoneSimulation::stateMachine);
            List<SimulatedProcess> processes = new ArrayList<>();
            for (String host : List.of("a", "b", "c", "d")) {
                processes.add(zone.start(host));
            }
            zone.runUntil(10_000);
            processes.forEach(zone::crash);
            zone.runUntil(12_000);
            processes.forEach(p -> zone.start(p.mSelf.host(), p.mSelf.peerAddress()));
            zone.runUntil(30_000);
            assertThat(zone.servicesWithoutOwner()).isEmpty();
        }

        /** Guards against one epoch per process when many processes join at once. */
        @Test
        void batchesConcurrentJoins() {
            ZoneSimulation zone = new ZoneSimulation(8, ZoneSimulation::stateMachine);
            for (int i = 0; i < 40; i++) {
                zone.start("h" + i);
            }
            zone.runUntil(15_000);
            assertThat(zone.mTable.current().roster().members()).hasSize(40);
            assertThat(zone.mTable.current().roster().epoch()).isLessThan(15);
        }
    }

    @Nested
    class UnsafeVariants {
        /** Guards against a check that misses an owner acting on its local roster alone. */
        @Test
        void detectsOwnerWithoutLease() {
            assertThat(firstViolation(UnsafeNodes::ownerWithoutLease)).contains("may send for");
        }

        /** Guards against a check that misses a new owner starting before the old lease expires. */
        @Test
        void detectsTakeoverWithoutSettleWait() {
            assertThat(firstViolation(UnsafeNodes::takeoverWithoutSettleWait))
                    .contains("may send for");
        }

        /**
         * Guards against a check that misses a lease counted from the acknowledgement's arrival.
         */
        @Test
        void detectsLeaseFromAcknowledgementArrival() {
            assertThat(firstViolation(UnsafeNodes::leaseFromAcknowledgementArrival))
                    .contains("may send for");
        }

        /** Guards against a check that misses a lease renewed by reads of the roster row. */
        @Test
        void detectsLeaseInRosterRow() {
            assertThat(firstViolation(UnsafeNodes::leaseInRosterRow)).contains("may send for");
        }
    }
}
