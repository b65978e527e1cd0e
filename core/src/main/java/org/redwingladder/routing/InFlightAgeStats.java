package org.redwingladder.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.redwingladder.routing.InFlightRequest.Attempt;

/** Ages of the attempts in flight at one backend server, relative to their class. */
final class InFlightAgeStats {
    private double mExcessSum;
    private double mRelativeAgeSum;
    private int mCount;

    private InFlightAgeStats() {}

    /** Updates the mean attempt age of each backend server and ejects the outliers. */
    static void ejectOutliers(SiteContext site, Collection<Attempt> attempts, long nowNanos) {
        Map<Backend, InFlightAgeStats> statsByBackend = new HashMap<>();
        for (Attempt attempt : attempts) {
            if (!attempt.mStreaming && attempt.mKind != AttemptKind.PROBE) {
                ServiceTimeHistogram times = site.times(attempt.mRequest.mWorkClass);
                statsByBackend
                        .computeIfAbsent(attempt.mBackend, b -> new InFlightAgeStats())
                        .add(nowNanos - attempt.mSentNanos, times);
            }
        }
        for (Backend backend : site.mPool.backends()) {
            InFlightAgeStats stats = statsByBackend.getOrDefault(backend, new InFlightAgeStats());
            backend.mRelativeAge = stats.mCount == 0 ? 0 : stats.mRelativeAgeSum / stats.mCount;
            site.mOutlierDetector.ejectIfOutlier(backend, stats.mExcessSum, nowNanos);
        }
    }

    private void add(long nanos, ServiceTimeHistogram times) {
        mExcessSum += Math.max(0, OutlierDetector.relativeExcess(nanos, times));
        mRelativeAgeSum += (double) nanos / times.meanNanos();
        mCount++;
    }
}
