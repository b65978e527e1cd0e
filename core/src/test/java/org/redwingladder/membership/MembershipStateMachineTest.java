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
            SimulatedProcess.Mechanism mechanism,
            List<Fault> faults,
            List<Integer> steps) {
        String name = "seed " + seed + " " + faults + " before steps " + steps;
        try {
            FaultInjectionScenario scenario = new FaultInjectionScenario(seed, mechanism, faults, steps);
            scenario.run();
            assertThat(scenario.mZone.unserved())
                    .as(
                            "%s: unserved at the end; row %s; processes %s",
                            name, scenario.mZone.mTable.current(), scenario.mZone.mProcesses)
                    .isEmpty();
        } catch (ZoneSimulation.TwoOwnersException e) {
            throw new ZoneSimulation.TwoOwnersException(name + ": " + e.getMessage());
        }
    }

    private static int stepsOf(SimulatedProcess.Mechanism mechanism) {
        return new FaultInjectionScenario(1, mechanism, List.of(), List.of()).run();
    }

    /** Returns the first violation that single faults at all steps provoke, or an empty text. */
    private static String firstViolation(SimulatedProcess.Mechanism mechanism) {
        int seed = 0;
        int steps = stepsOf(ZoneSimulation::machine);
        for (Fault fault :
                List.of(Fault.PAUSE, Fault.CUT_BOTH_WAYS, Fault.PAUSE_WITH_ANSWERS_DUE)) {
            for (int step = 0; step < steps; step += 3) {
                try {
                    new FaultInjectionScenario(seed++, mechanism, List.of(fault), List.of(step)).run();
                } catch (ZoneSimulation.TwoOwnersException e) {
                    return e.getMessage();
                }
            }
        }
        return "";
    }

    @Nested
    class WithOneFault {
        /**
         * Guards against two owners of a site, and against a zone that does not recover, after any
         * single fault at any step of joins, a planned stop and a takeover.
         */
        @Test
        void keepsOneOwnerAndRecovers() {
            int steps = stepsOf(ZoneSimulation::machine);
            assertThat(steps).isGreaterThan(50);
            int seed = 0;
            for (Fault fault : Fault.values()) {
                for (int step = fault.ordinal() % 3; step < steps; step += 3) {
                    runAndCheck(seed++, ZoneSimulation::machine, List.of(fault), List.of(step));
                }
            }
        }
    }

    @Nested
    class WithTwoFaults {
        /** Guards against two owners of a site when a second fault hits while one is handled. */
        @Test
        void keepsOneOwnerAndRecovers() {
            int steps = stepsOf(ZoneSimulation::machine);
            SplittableRandom random = new SplittableRandom(7);
            int seed = 10_000;
            for (Fault first : Fault.values()) {
                for (Fault second : Fault.values()) {
                    for (int i = 0; i < 3; i++) {
                        int step = random.nextInt(steps);
                        int later = step + random.nextInt(1, 30);
                        runAndCheck(
                                seed++,
                                ZoneSimulation::machine,
                                List.of(first, second),
                                List.of(step, later));
                    }
                }
            }
        }
    }

    @Nested
    class WithoutFaults {
        /** Guards against a planned stop during which a site has no owner. */
        @Test
        void handsOverWithoutAGap() {
            ZoneSimulation zone = new ZoneSimulation(3, ZoneSimulation::machine);
            List<SimulatedProcess> processes = new ArrayList<>();
            for (String host : List.of("a", "b", "c", "d")) {
                processes.add(zone.start(host));
            }
            zone.runUntil(10_000);
            assertThat(zone.unserved()).isEmpty();
            zone.deliver(processes.get(1), new MembershipEvent.Drain());
            long longest = 0;
            long unservedSince = -1;
            for (long time = 10_001; time < 14_000; time++) {
                zone.runUntil(time);
                if (zone.unserved().isEmpty()) {
                    unservedSince = -1;
                } else {
                    unservedSince = unservedSince < 0 ? time : unservedSince;
                    longest = Math.max(longest, time - unservedSince + 1);
                }
            }
            assertThat(processes.get(1).mView.sites()).isEmpty();
            // One round of messages tells the epoch, a second one confirms the new owners.
            assertThat(longest).isLessThanOrEqualTo(25);
        }

        /** Guards against owners that stop when nobody can read or write the platform's table. */
        @Test
        void servesThroughALongOutageOfThePlatform() {
            ZoneSimulation zone = new ZoneSimulation(4, ZoneSimulation::machine);
            for (String host : List.of("a", "b", "c", "d")) {
                zone.start(host);
            }
            zone.runUntil(10_000);
            zone.mPlatformDown = true;
            for (long time = 10_000; time < 3_610_000; time += 500) {
                zone.runUntil(time);
                assertThat(zone.unserved()).as("at %d", time).isEmpty();
            }
        }

        /** Guards against a minority that goes on when its zone is split in two. */
        @Test
        void onlyTheQuorumServesInASplitZone() {
            ZoneSimulation zone = new ZoneSimulation(5, ZoneSimulation::machine);
            List<SimulatedProcess> processes = new ArrayList<>();
            for (String host : List.of("a", "b", "c", "d")) {
                processes.add(zone.start(host));
                zone.runUntil(zone.time() + 3000);
            }
            zone.mPlatformDown = true;
            for (String left : List.of("a", "b")) {
                for (String right : List.of("c", "d")) {
                    zone.mCuts.add(left + ">" + right);
                    zone.mCuts.add(right + ">" + left);
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

        /** Guards against a zone that stays without owners after all its hosts were restarted. */
        @Test
        void recoversFromARestartOfTheWholeZone() {
            ZoneSimulation zone = new ZoneSimulation(6, ZoneSimulation::machine);
            List<SimulatedProcess> processes = new ArrayList<>();
            for (String host : List.of("a", "b", "c", "d")) {
                processes.add(zone.start(host));
            }
            zone.runUntil(10_000);
            processes.forEach(zone::crash);
            zone.runUntil(12_000);
            processes.forEach(p -> zone.start(p.mSelf.host(), p.mSelf.peerAddress()));
            zone.runUntil(30_000);
            assertThat(zone.unserved()).isEmpty();
        }

        /** Guards against a batch of joins that takes one epoch for each process. */
        @Test
        void batchesJoins() {
            ZoneSimulation zone = new ZoneSimulation(8, ZoneSimulation::machine);
            for (int i = 0; i < 40; i++) {
                zone.start("h" + i);
            }
            zone.runUntil(15_000);
            assertThat(zone.mTable.current().roster().members()).hasSize(40);
            assertThat(zone.mTable.current().roster().epoch()).isLessThan(15);
        }
    }

    @Nested
    class NaiveVersions {
        /** Guards against a property that lets an owner act on its local view alone. */
        @Test
        void ownerWithoutConfirmationIsCaught() {
            assertThat(firstViolation(UnsafeNodes::ownerByLocalView)).contains("may send for");
        }

        /** Guards against a property that lets a new owner start before the old one has lapsed. */
        @Test
        void takeoverWithoutSettleWaitIsCaught() {
            assertThat(firstViolation(UnsafeNodes::takeoverAtOnce)).contains("may send for");
        }

        /** Guards against a property that counts an acknowledgement from its arrival. */
        @Test
        void acknowledgementCountedFromArrivalIsCaught() {
            assertThat(firstViolation(UnsafeNodes::countedFromArrival)).contains("may send for");
        }

        /** Guards against a property that accepts a lease in the table that its holder outlives. */
        @Test
        void leaseInTheTableIsCaught() {
            assertThat(firstViolation(UnsafeNodes::leaseInTheTable)).contains("may send for");
        }
    }
}
