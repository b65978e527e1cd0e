package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Decides when a host asks others, or the store itself, whether its tables are up to date.
 *
 * <p>Most hosts learn changes from the hosts that follow the store, which may be lost, suspended or
 * cut off without others noticing for seconds. A host therefore asks one of them when the proof
 * that its tables are up to date becomes too old, and reads the changes from the store if no host
 * can renew the proof. Hosts that do not answer are not trusted for a while, so that their
 * successors follow the store. Not thread-safe.
 */
public final class FreshnessPolicy {
    /** The age of the proof from which a host asks another one. */
    public static final long ASK_AGE_NANOS = 1_200_000_000L;

    /** Exceeds a round trip between zones of a region and the work of a busy host. */
    public static final long QUESTION_TIMEOUT_NANOS = 300_000_000L;

    /** Exceeds a round trip between regions and the answer of a slow store. */
    public static final long STORE_TIMEOUT_NANOS = 400_000_000L;

    /** Exceeds the wait for a host's own call to the store and the call itself. */
    private static final long STORE_AWAY_MARGIN_NANOS = 800_000_000L;

    /**
     * The size of a region from which the age grows with it, so that the questions to its readers
     * do not.
     */
    private static final int LARGE_REGION_HOSTS = 48;

    /** Keeps the questions to a reader of 312 hosts below 14 a second. */
    private static final long ASK_AGE_NANOS_PER_HOST = 35_000_000L;

    private static final long REPEAT_NANOS = 100_000_000L;
    private static final long DISTRUST_NANOS = 3_000_000_000L;

    /** The time for which a host that runs a release without questions is not asked again. */
    private static final long UNSUPPORTED_NANOS = 30_000_000_000L;

    private static final long MIN_STORE_PERIOD_NANOS = 500_000_000L;
    private static final long MAX_STORE_BACK_OFF_NANOS = 8_000_000_000L;

    /** For two tables a host, a sixth of the 2,000 reads a second that the store supports. */
    private static final long STORE_PERIOD_NANOS_PER_HOST = 6_000_000L;

    /**
     * The part of the period in which all hosts may call at once, as they do if they lose their
     * proofs at the same moment.
     */
    private static final long STORE_BURST_NANOS = 500_000_000L;

    private final String mSelf;
    private final String mRegion;
    private final Map<String, String> mRegionOfZone;
    private final RandomGenerator mRandom;
    private final Map<String, Long> mDistrustedUntil = new HashMap<>();
    private final Set<String> mOutdatedReaders = new HashSet<>();
    private boolean mQuestionInFlight;
    private boolean mStoreCallInFlight;
    private boolean mOutdated;
    private long mNextQuestionNanos;
    private long mNextStoreCallNanos;
    private long mStoreBackOffNanos = MIN_STORE_PERIOD_NANOS;

    /** What the host does next. */
    public sealed interface Step {
        /** Nothing is due. */
        record Idle() implements Step {}

        /** Asks a host until a deadline. */
        record AskHost(HostState host, long deadlineNanos) implements Step {}

        /** Reads the changes of the outdated tables from the store until a deadline. */
        record AskStore(long deadlineNanos) implements Step {}
    }

    /** Creates the policy of a host, whose first question is due at once. */
    public FreshnessPolicy(
            String self,
            String region,
            Map<String, String> regionOfZone,
            RandomGenerator random,
            long nowNanos) {
        mSelf = self;
        mRegion = region;
        mRegionOfZone = Map.copyOf(regionOfZone);
        mRandom = random;
        mNextQuestionNanos = nowNanos;
        mNextStoreCallNanos = nowNanos;
    }

    /**
     * Returns the next step, whose end has to be reported.
     *
     * @param provenNanos the instant of the oldest proof of a table
     * @param alive the hosts that are alive
     */
    public Step next(long provenNanos, Collection<HostState> alive, long nowNanos) {
        long age = nowNanos - provenNanos;
        long askAge = askAgeNanos(alive);
        if (age < askAge) {
            recordFreshProof(nowNanos);
            return new Step.Idle();
        }
        if (!mOutdated) {
            // A host that has just got processor time again asks another one first, too.
            mOutdated = true;
            long spread = random(alive.size() * STORE_PERIOD_NANOS_PER_HOST - STORE_BURST_NANOS);
            long due = nowNanos + QUESTION_TIMEOUT_NANOS + spread;
            mNextStoreCallNanos = later(mNextStoreCallNanos, due);
        }
        if (age >= askAge + QUESTION_TIMEOUT_NANOS
                && !mStoreCallInFlight
                && nowNanos - mNextStoreCallNanos >= 0) {
            mStoreCallInFlight = true;
            return new Step.AskStore(nowNanos + STORE_TIMEOUT_NANOS);
        }
        if (!mQuestionInFlight && nowNanos - mNextQuestionNanos >= 0) {
            HostState host = hostToAsk(alive, nowNanos);
            if (host != null) {
                mQuestionInFlight = true;
                return new Step.AskHost(host, nowNanos + QUESTION_TIMEOUT_NANOS);
            }
        }
        return new Step.Idle();
    }

    /** Reports that the tables are proven to be up to date, which ends an outage for this host. */
    public void recordFreshProof(long nowNanos) {
        mOutdated = false;
        if (mStoreBackOffNanos > MIN_STORE_PERIOD_NANOS) {
            mStoreBackOffNanos = MIN_STORE_PERIOD_NANOS;
            mNextStoreCallNanos = nowNanos;
        }
    }

    /** Returns the age of a proof from which a host considers its tables outdated. */
    public long outdatedAgeNanos(Collection<HostState> alive) {
        return askAgeNanos(alive) + QUESTION_TIMEOUT_NANOS;
    }

    /**
     * Returns whether the store is taken to be away: the proof of a table is older than it gets
     * while some host of the region can reach the store.
     */
    public static boolean storeAway(
            long provenNanos,
            Collection<HostState> alive,
            String region,
            Map<String, String> regionOfZone,
            long nowNanos) {
        return nowNanos - provenNanos
                > askAgeNanos(alive, region, regionOfZone)
                        + QUESTION_TIMEOUT_NANOS
                        + STORE_AWAY_MARGIN_NANOS;
    }

    private long askAgeNanos(Collection<HostState> alive) {
        return askAgeNanos(alive, mRegion, mRegionOfZone);
    }

    private static long askAgeNanos(
            Collection<HostState> alive, String region, Map<String, String> regionOfZone) {
        long hosts =
                alive.stream().filter(host -> region.equals(regionOfZone.get(host.zone()))).count();
        return ASK_AGE_NANOS + Math.max(0, hosts - LARGE_REGION_HOSTS) * ASK_AGE_NANOS_PER_HOST;
    }

    private @Nullable HostState hostToAsk(Collection<HostState> alive, long nowNanos) {
        List<HostState> candidates =
                new ArrayList<>(
                        StoreReaderSelector.readers(
                                mRegion, trusted(alive, nowNanos), mRegionOfZone));
        candidates.removeIf(host -> host.name().equals(mSelf));
        return candidates.isEmpty() ? null : candidates.get(mRandom.nextInt(candidates.size()));
    }

    /** Returns the hosts without those that recently did not answer or were outdated. */
    public List<HostState> trusted(Collection<HostState> alive, long nowNanos) {
        mDistrustedUntil.values().removeIf(until -> nowNanos - until >= 0);
        return alive.stream().filter(host -> !mDistrustedUntil.containsKey(host.name())).toList();
    }

    /**
     * Reports that a host answered.
     *
     * @param provenNanos the instant of the oldest proof of a table after the answer
     * @param outdated whether the host, although it follows the store, has an old proof itself
     */
    public void hostAnswered(String host, long provenNanos, boolean outdated, long nowNanos) {
        mQuestionInFlight = false;
        mNextQuestionNanos = nowNanos + REPEAT_NANOS;
        if (outdated) {
            // The fault may be the store's; only a call of this host can tell.
            mOutdatedReaders.add(host);
        } else {
            mOutdatedReaders.remove(host);
        }
        if (nowNanos - provenNanos < ASK_AGE_NANOS) {
            mOutdatedReaders.clear();
        }
    }

    /** Reports that a host did not answer in time. */
    public void hostFailed(String host, long nowNanos) {
        mQuestionInFlight = false;
        mNextQuestionNanos = nowNanos;
        mDistrustedUntil.put(host, nowNanos + DISTRUST_NANOS);
    }

    /** Reports that a host runs a release that cannot be asked. */
    public void hostUnsupported(String host, long nowNanos) {
        hostFailed(host, nowNanos);
        mDistrustedUntil.put(host, nowNanos + UNSUPPORTED_NANOS);
    }

    /** Reports that the store answered. */
    public void storeAnswered(int hosts, long nowNanos) {
        mStoreCallInFlight = false;
        mStoreBackOffNanos = MIN_STORE_PERIOD_NANOS;
        mNextStoreCallNanos =
                nowNanos + Math.max(MIN_STORE_PERIOD_NANOS, hosts * STORE_PERIOD_NANOS_PER_HOST);
        for (String reader : mOutdatedReaders) {
            mDistrustedUntil.put(reader, nowNanos + DISTRUST_NANOS);
        }
        mOutdatedReaders.clear();
    }

    /** Reports that the store did not answer or refused the call. */
    public void storeFailed(int hosts, long nowNanos) {
        mStoreCallInFlight = false;
        long period = Math.max(mStoreBackOffNanos, hosts * STORE_PERIOD_NANOS_PER_HOST);
        mNextStoreCallNanos = nowNanos + period + random(period);
        mStoreBackOffNanos = Math.min(MAX_STORE_BACK_OFF_NANOS, 2 * mStoreBackOffNanos);
    }

    private long random(long bound) {
        return bound <= 0 ? 0 : mRandom.nextLong(bound);
    }

    private static long later(long a, long b) {
        return a - b >= 0 ? a : b;
    }
}
