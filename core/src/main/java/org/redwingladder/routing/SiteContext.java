package org.redwingladder.routing;

import static java.util.Objects.requireNonNull;

import java.util.EnumMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.redwingladder.limits.AdmissionController;

/** State of a site that {@link SiteDispatcher} and {@link InFlightTracker} share. */
final class SiteContext {
    /** Estimate before the first responses; a few samples outweigh it. */
    private static final long SHORT_INITIAL_NANOS = 50_000_000L;

    private static final long LONG_INITIAL_NANOS = 1_000_000_000L;

    final SiteTuning mTuning;
    final AdmissionController mLimits;
    final BackendPool mPool;
    final LoadBalancer mLoadBalancer;
    final OutlierDetector mOutlierDetector;
    final RequestClassifier mClassifier = new RequestClassifier();
    final LongWorkLimiter mLongLimiter;
    private final Map<WorkClass, ServiceTimeHistogram> mServiceTimes =
            new EnumMap<>(WorkClass.class);
    private final Map<WorkClass, HedgePolicy> mHedgePolicies = new EnumMap<>(WorkClass.class);
    SiteConfig mConfig;

    SiteContext(
            SiteConfig config,
            SiteTuning tuning,
            AdmissionController limits,
            RandomGenerator random,
            long nowNanos) {
        mConfig = config;
        mTuning = tuning;
        mLimits = limits;
        mPool = BackendPool.create(config, nowNanos);
        mLoadBalancer = new LoadBalancer(mPool, random);
        mOutlierDetector = new OutlierDetector(tuning, mPool);
        mLongLimiter = new LongWorkLimiter(tuning, nowNanos);
        for (WorkClass workClass : WorkClass.values()) {
            long initialNanos =
                    workClass == WorkClass.SHORT ? SHORT_INITIAL_NANOS : LONG_INITIAL_NANOS;
            mServiceTimes.put(
                    workClass, new ServiceTimeHistogram(tuning.hedgeQuantile(), initialNanos));
            // One budget per class: an extra long attempt costs as much as many short ones.
            mHedgePolicies.put(workClass, new HedgePolicy(tuning));
        }
    }

    ServiceTimeHistogram times(WorkClass workClass) {
        return requireNonNull(mServiceTimes.get(workClass));
    }

    HedgePolicy hedgePolicy(WorkClass workClass) {
        return requireNonNull(mHedgePolicies.get(workClass));
    }

    /** Returns how many slots long work may occupy now. */
    int longLimit(long nowNanos) {
        return mLongLimiter.limit(mPool.servingSlots(nowNanos), mConfig.longSlotsPercent());
    }
}
