package org.redwingladder.routing;

import static java.util.Objects.requireNonNull;

import java.util.EnumMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.redwingladder.limits.SiteLimits;

/** Holds the parts of a dispatcher that its queue side and its in-flight side share. */
final class Site {
    /** Guesses before the first answers; the digests forget them within a few samples. */
    private static final long SHORT_GUESS_NANOS = 50_000_000L;

    private static final long LONG_GUESS_NANOS = 1_000_000_000L;

    final SiteTuning mTuning;
    final SiteLimits mLimits;
    final BackendPool mPool;
    final BackendChooser mChooser;
    final OutlierDetector mDetector;
    final ClassLearner mLearner = new ClassLearner();
    final LongShare mShare;
    private final Map<WorkClass, TimeDigest> mTimes = new EnumMap<>(WorkClass.class);
    private final Map<WorkClass, HedgePolicy> mHedges = new EnumMap<>(WorkClass.class);
    SiteConfig mConfig;

    Site(
            SiteConfig config,
            SiteTuning tuning,
            SiteLimits limits,
            RandomGenerator random,
            long nowNanos) {
        mConfig = config;
        mTuning = tuning;
        mLimits = limits;
        mPool = BackendPool.create(config, nowNanos);
        mChooser = new BackendChooser(mPool, random);
        mDetector = new OutlierDetector(tuning, mPool);
        mShare = new LongShare(tuning, nowNanos);
        for (WorkClass workClass : WorkClass.values()) {
            long guess = workClass == WorkClass.SHORT ? SHORT_GUESS_NANOS : LONG_GUESS_NANOS;
            mTimes.put(workClass, new TimeDigest(tuning.hedgeQuantile(), guess));
            // A budget per class: an extra attempt at long work costs many at short work.
            mHedges.put(workClass, new HedgePolicy(tuning));
        }
    }

    TimeDigest times(WorkClass workClass) {
        return requireNonNull(mTimes.get(workClass));
    }

    HedgePolicy hedges(WorkClass workClass) {
        return requireNonNull(mHedges.get(workClass));
    }

    /** Returns how many slots long work may hold now. */
    int longLimit(long nowNanos) {
        return mShare.limit(mPool.servingSlots(nowNanos), mConfig.longSlotsPercent());
    }
}
