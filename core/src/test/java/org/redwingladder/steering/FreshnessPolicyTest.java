package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Simulates hosts whose proofs must stay younger than the bounds for settings and servers. */
class FreshnessPolicyTest {
    /** The smallest bound of the deployments for settings and leaving servers. */
    private static final long BOUND_MILLIS = 2_500;

    /** The bound of the target of 7,500 hosts for settings. */
    private static final long TARGET_BOUND_MILLIS = 15_000;

    private static final int STORE_READS_PER_SECOND = 2_000;
    private static final int SEEDS = 10;

    private static long oldestMillis(
            int hosts, int regions, FreshnessSimulation.Fault fault, boolean questions) {
        long oldest = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            oldest =
                    Math.max(
                            oldest,
                            new FreshnessSimulation(hosts, regions, fault, questions, seed)
                                    .oldestMillis());
        }
        return oldest;
    }

    @Nested
    class Knowledge {
        @ParameterizedTest
        @EnumSource(
                value = FreshnessSimulation.Fault.class,
                names = "STORE_DOWN",
                mode = EnumSource.Mode.EXCLUDE)
        void isYoungerThanTheBoundWhateverHappensToTheReaders(FreshnessSimulation.Fault fault) {
            assertThat(oldestMillis(2, 1, fault, true)).as("2 hosts").isLessThan(BOUND_MILLIS);
            assertThat(oldestMillis(24, 3, fault, true)).as("24 hosts").isLessThan(BOUND_MILLIS);
            assertThat(oldestMillis(140, 10, fault, true)).as("140 hosts").isLessThan(BOUND_MILLIS);
        }

        /** A region of the target size has as many hosts. */
        @Test
        void isYoungerThanTheBoundOfTheTargetInARegionThatLosesItsReaders() {
            FreshnessSimulation simulation =
                    new FreshnessSimulation(312, 1, FreshnessSimulation.Fault.LOST, true, 1);
            assertThat(simulation.oldestMillis()).isLessThan(TARGET_BOUND_MILLIS);
        }

        /** Shows that the simulation notices the fault of hosts that only wait for pushes. */
        @ParameterizedTest
        @EnumSource(
                value = FreshnessSimulation.Fault.class,
                names = {"LOST", "SUSPENDED", "CUT", "REFUSED"})
        void isOlderThanTheBoundWithoutQuestions(FreshnessSimulation.Fault fault) {
            assertThat(oldestMillis(24, 3, fault, false)).isGreaterThan(BOUND_MILLIS);
        }
    }

    @Nested
    class HostsThatWereSuspended {
        /** Each pause of a host that is short of processor time would cost calls to the store. */
        @Test
        void askAnotherHostBeforeTheStore() {
            Map<String, String> regions = Map.of("z1", "r1");
            FreshnessPolicy policy =
                    new FreshnessPolicy("h1", "r1", regions, new SplittableRandom(1), 0);
            HostState reader = new HostState("h2", 1, 1, "z1", "h2", "h2", true, true, 1, Map.of());
            long now = 5_000 * FreshnessSimulation.MILLI;
            assertThat(policy.next(0, List.of(reader), now))
                    .isInstanceOf(FreshnessPolicy.Step.AskHost.class);
            long deadline = now + FreshnessPolicy.QUESTION_TIMEOUT_NANOS;
            policy.hostFailed("h2", deadline);
            assertThat(policy.next(0, List.of(reader), deadline))
                    .isInstanceOf(FreshnessPolicy.Step.AskStore.class);
        }
    }

    @Nested
    class CallsToTheStore {
        @Test
        void areLeftToTheReadersWhileTheyWork() {
            FreshnessSimulation simulation =
                    new FreshnessSimulation(140, 10, FreshnessSimulation.Fault.NONE, true, 1);
            simulation.oldestMillis();
            assertThat(simulation.mostDirectReadsPerSecond()).isZero();
        }

        /** An outage, or its end, must not make all hosts call at once. */
        @ParameterizedTest
        @CsvSource({"24, 3", "140, 10", "500, 24"})
        void stayBelowAQuarterOfItsReadsInAnOutage(int hosts, int regions) {
            FreshnessSimulation simulation =
                    new FreshnessSimulation(
                            hosts, regions, FreshnessSimulation.Fault.STORE_DOWN, true, 1);
            simulation.oldestMillis();
            assertThat(simulation.mostDirectReadsPerSecond())
                    .isLessThanOrEqualTo(STORE_READS_PER_SECOND / 4);
        }
    }

    @Nested
    class StoreAway {
        /** Servers would be asked for their health because a reader is replaced. */
        @ParameterizedTest
        @CsvSource({"1700, false", "2400, true"})
        void isAssumedOnlyOfAnOlderProofThanThatOfALostReader(long ageMillis, boolean away) {
            assertThat(
                            FreshnessPolicy.storeAway(
                                    0, List.of(), "r", Map.of(), ageMillis * 1_000_000))
                    .isEqualTo(away);
        }
    }
}
