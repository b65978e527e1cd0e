package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Data collected during a demo. Times are epoch milliseconds. */
final class DemoObservations {
    long mLoadStartedAt;
    long mShutdownStartedAt;
    long mShutdownEndedAt;
    long mDrainAcceptedAt;
    long mDrainVersion;
    long mCapAcceptedAt;
    long mCapVersion;
    int mLoweredRate;
    @Nullable Integer mShutdownExitCode;
    String mStoppedHostAddress = "";
    String mDrainedServer = "";
    String mLoweredCap = "";
    List<JsonNode> mRecords = List.of();
    JsonNode mReport = Json.MAPPER.createObjectNode();

    /** The executed requests of each backend server. */
    Map<String, List<RunJournal.Run>> mRuns = Map.of();

    /** The counters of each backend server. */
    Map<String, BackendStats> mStats = Map.of();

    Map<String, List<DemoStatusSampler.Sample>> mStatusSamples = Map.of();

    /** The entry hosts that were still running at the end. */
    List<String> mRunningHosts = List.of();
}
