package org.redwingladder.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.redwingladder.routing.Flight.Attempt;

/** Judges backend servers by the ages of the attempts that they have not answered yet. */
final class AgeWatch {
    private double mExcess;
    private double mRelative;
    private int mCount;

    private AgeWatch() {}

    /** Updates the mean age at each backend server and ejects those that stand out. */
    static void ejectOutliers(Site site, Collection<Attempt> attempts, long nowNanos) {
        Map<Backend, AgeWatch> ages = new HashMap<>();
        for (Attempt attempt : attempts) {
            if (!attempt.mStreaming && attempt.mKind != AttemptKind.PROBE) {
                TimeDigest times = site.times(attempt.mFlight.mWorkClass);
                ages.computeIfAbsent(attempt.mBackend, b -> new AgeWatch())
                        .add(nowNanos - attempt.mSentNanos, times);
            }
        }
        for (Backend backend : site.mPool.each()) {
            AgeWatch of = ages.getOrDefault(backend, new AgeWatch());
            backend.mRelativeAge = of.mCount == 0 ? 0 : of.mRelative / of.mCount;
            site.mDetector.ejectIfOutlier(backend, of.mExcess, nowNanos);
        }
    }

    private void add(long nanos, TimeDigest times) {
        mExcess += Math.max(0, OutlierDetector.excess(nanos, times));
        mRelative += (double) nanos / times.meanNanos();
        mCount++;
    }
}
