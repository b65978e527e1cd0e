package org.redwingladder.standin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DemoGuaranteeChecksTest {
    private static final String CAP = "catalogue-viti";

    /** A backend server of the catalogue in the region of the lowered cap. */
    private static final String SERVER = "catalogue-1";

    private final DemoObservations mObservations = new DemoObservations();
    private final List<JsonNode> mRecords = new ArrayList<>();
    private final Map<String, List<RunJournal.Run>> mRuns = new LinkedHashMap<>();
    private final Map<String, BackendStats> mStats = new LinkedHashMap<>();
    private final Map<String, List<DemoStatusSampler.Sample>> mStatusSamples =
            new LinkedHashMap<>();
    private DemoDeployment mDeployment;

    @BeforeEach
    void healthyRun() throws Exception {
        mDeployment = DemoDeployment.read(Path.of("..", "samples"), "tabua");
        mObservations.mRecords = mRecords;
        mObservations.mRuns = mRuns;
        mObservations.mStats = mStats;
        mObservations.mStatusSamples = mStatusSamples;
        mObservations.mShutdownStartedAt = 20_000;
        mObservations.mShutdownEndedAt = 30_000;
        mObservations.mShutdownExitCode = 0;
        mObservations.mStoppedHostAddress = "stopped:1";
        mObservations.mDrainedServer = "checkout-1";
        mObservations.mDrainAcceptedAt = 26_000;
        mObservations.mDrainVersion = 5;
        mObservations.mLoweredCap = CAP;
        mObservations.mLoweredRate = 10;
        mObservations.mCapAcceptedAt = 31_000;
        mObservations.mCapVersion = 6;
        mObservations.mRunningHosts = List.of("entry-01");
        mStatusSamples.put(
                "entry-01", List.of(sample(25_000, 4), sample(27_000, 5), sample(32_000, 6)));
        ran(SERVER, "list-1.1", 1_000);
        ran("checkout-1", "pay-1.1", 27_000);
        record("pay-1", true, "answered", "pay-1.1", "stopped:1", "whole", "status-200");
        record("list-1", false, "answered", "list-1.1", "other:1", "whole", "status-200");
    }

    private static DemoStatusSampler.Sample sample(long at, long version) {
        return new DemoStatusSampler.Sample(at, version, List.of());
    }

    private void ran(String server, String id, long at) {
        mRuns.computeIfAbsent(server, name -> new ArrayList<>())
                .add(new RunJournal.Run(id, "GET", "/x", at, at + 100, "completed"));
    }

    private void record(
            String id,
            boolean once,
            String end,
            String attempt,
            String address,
            String kind,
            String reason) {
        var node = Json.MAPPER.createObjectNode();
        node.put("id", id).put("once", once).put("end", end).put("deadlineAt", 27_000);
        node.putArray("attempts")
                .addObject()
                .put("requestId", attempt)
                .put("address", address)
                .put("kind", kind)
                .put("reason", reason)
                .put("endedAt", 25_000);
        mRecords.add(node);
    }

    private List<Integer> violatedGuarantees() {
        return new DemoGuaranteeChecks(mDeployment, mObservations)
                .run().stream()
                        .filter(check -> !check.held())
                        .map(DemoGuaranteeChecks.Check::number)
                        .toList();
    }

    /** Guards against a demo that reports a guarantee as held although it was violated. */
    @Nested
    class GuaranteeViolations {
        @Test
        void noViolationsInAHealthyRun() {
            assertThat(violatedGuarantees()).isEmpty();
        }

        @Test
        void capExceeded() {
            for (int i = 0; i < 11; i++) {
                ran(SERVER, "late-" + i + ".1", 33_100 + i * 80);
            }
            assertThat(violatedGuarantees()).containsExactly(1);
        }

        @Test
        void oldCapAppliesBeforeItIsLowered() {
            for (int i = 0; i < 11; i++) {
                ran(SERVER, "early-" + i + ".1", 30_000 + i * 80);
            }
            assertThat(violatedGuarantees()).isEmpty();
        }

        @Test
        void backendServerOverloaded() {
            mStats.put(SERVER, new BackendStats(9, 8, 8, 0, 0, 1, 0, 0, 9, 0, 0));
            assertThat(violatedGuarantees()).containsExactly(2);
        }

        @Test
        void wrongResponse() {
            record("list-2", false, "unknown", "list-2.1", "other:1", "wrong", "wrong-id");
            assertThat(violatedGuarantees()).containsExactly(3);
        }

        @Test
        void refusedRequestExecuted() {
            record("list-2", false, "refused", "list-2.1", "other:1", "not-run", "cap-rate");
            ran(SERVER, "list-2.1", 2_000);
            assertThat(violatedGuarantees()).containsExactly(4);
        }

        @Test
        void atMostOnceRequestExecutedTwice() {
            ran(SERVER, "pay-1.2", 2_000);
            assertThat(violatedGuarantees()).containsExactly(5);
        }

        @Test
        void completedRequestNeverExecuted() {
            record("pay-2", true, "answered", "pay-2.1", "other:1", "whole", "status-200");
            assertThat(violatedGuarantees()).containsExactly(5);
        }

        @Test
        void requestSentToDrainedServer() {
            ran("checkout-1", "list-3.1", 31_001);
            assertThat(violatedGuarantees()).containsExactly(6);
        }

        @Test
        void requestDroppedByGracefulShutdown() {
            record("list-2", false, "answered", "list-2.1", "stopped:1", "lost", "lost-cut-off");
            assertThat(violatedGuarantees()).containsExactly(7);
        }

        @Test
        void forwardedRequestDroppedByGracefulShutdown() {
            record("list-2", false, "answered", "list-2.1", "other:1", "unknown", "peer-lost");
            assertThat(violatedGuarantees()).containsExactly(7);
        }

        @Test
        void forwardedRequestAbandonedAtItsDeadlineIsNotDropped() {
            record("list-2", false, "answered", "list-2.1", "other:1", "unknown", "peer-lost");
            ((ObjectNode) mRecords.getLast()).put("deadlineAt", 25_050);
            assertThat(violatedGuarantees()).isEmpty();
        }

        @Test
        void gracefulShutdownFailed() {
            mObservations.mShutdownExitCode = 1;
            assertThat(violatedGuarantees()).containsExactly(7);
        }

        @Test
        void settingsReverted() {
            mStatusSamples.put(
                    "entry-01", List.of(sample(27_000, 5), sample(32_000, 6), sample(33_000, 5)));
            assertThat(violatedGuarantees()).containsExactly(8);
        }

        @Test
        void settingsNotPropagatedToAHost() {
            mObservations.mRunningHosts = List.of("entry-01", "entry-02");
            mStatusSamples.put("entry-02", List.of(sample(27_000, 5), sample(45_000, 5)));
            assertThat(violatedGuarantees()).containsExactly(8);
        }
    }

    /** Guards against a peak usage that omits overlapping requests or counts them twice. */
    @Nested
    class PeakUsageMeasurement {
        private final List<RunJournal.Run> mAll = new ArrayList<>();

        private void run(long from, long to) {
            mAll.add(new RunJournal.Run("r", "GET", "/x", from, to, "completed"));
        }

        @Test
        void rateCountsHalfOpenWindows() {
            run(1_000, 1_001);
            run(1_999, 2_001);
            run(2_000, 2_001);

            assertThat(PeakUsage.peakRate(mAll, 1_000)).isEqualTo(2);
        }

        @Test
        void inFlightIncludesUnfinishedRequests() {
            run(1_000, 1_500);
            run(1_400, 0);
            run(1_500, 1_600);

            assertThat(PeakUsage.peakInFlight(mAll, 0, 9_000)).isEqualTo(2);
        }
    }
}
