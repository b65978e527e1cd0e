package org.redwingladder.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers at an ingress how long requests wait at the sites of one service.
 *
 * <p>Each answer and each refusal tells the wait that the site's owner expects. The ingress tries
 * the site first whose weighted distance and wait add up to the least, so that work leaves a
 * crowded site before it is refused there: a refusal costs an attempt and a token of the retry
 * budget. A wait is forgotten exponentially, because a site that is not tried tells nothing new,
 * but not while a request that was sent since is unanswered. Instants are nanoseconds of one
 * monotonic clock. Not thread-safe.
 */
public final class SiteWaitTracker {
    /**
     * Work that leaves a crowded site pays the distance once; work that stays makes all others
     * wait. Half the distance gives the lowest 99th percentile in the policy bench.
     */
    private static final double DISTANCE_WEIGHT = 0.5;

    /** A shorter wait is not worth the token of the retry budget that a refusal costs. */
    private static final long LEAST_PATIENCE_NANOS = 2_000_000L;

    /** Tokens of the retry budget that are kept for losses and full sites. */
    private static final int TOKENS_KEPT = 3;

    private static final long NEAR_NANOS = 5_000_000L;

    private static final long NOT_ASKED = Long.MIN_VALUE;

    /** After this time an answer that was waited for is taken as lost. */
    private static final long ANSWER_NANOS = 1_000_000_000L;

    private final double mMemoryNanos;
    private final Map<String, Load> mLoads = new HashMap<>();

    private SiteWaitTracker(double memoryNanos) {
        mMemoryNanos = memoryNanos;
    }

    /** Creates a memory that forgets within the standard time. */
    public static SiteWaitTracker create() {
        return new SiteWaitTracker(200e6);
    }

    /**
     * Names a site that an ingress may try.
     *
     * @param name the site's zone
     * @param roundTripNanos how long a request and its answer travel
     */
    public record Site(String name, long roundTripNanos) {}

    /**
     * Holds what was told last.
     *
     * @param waitNanos the wait
     * @param atNanos when it was told
     * @param askedNanos when a request was sent that has told nothing yet; {@link #NOT_ASKED} if
     *     none
     */
    private record Load(double waitNanos, long atNanos, long askedNanos) {}

    /** Notes the wait that the owner of a site expects. */
    public void recordWait(String site, long waitNanos, long nowNanos) {
        mLoads.put(site, new Load(waitNanos, nowNanos, NOT_ASKED));
    }

    /** Notes that a request was sent to a site. */
    public void recordSend(String site, long nowNanos) {
        Load load = mLoads.get(site);
        if (load != null && load.askedNanos() == NOT_ASKED) {
            mLoads.put(site, new Load(load.waitNanos(), load.atNanos(), nowNanos));
        }
    }

    /** Returns the wait to expect at a site. */
    public double expectedWaitNanos(String site, long nowNanos) {
        Load load = mLoads.get(site);
        if (load == null) {
            return 0;
        }
        if (load.askedNanos() != NOT_ASKED && nowNanos - load.askedNanos() < ANSWER_NANOS) {
            // The answer comes after the wait itself; until then one request is enough to ask.
            return load.waitNanos();
        }
        return load.waitNanos() * Math.exp(-(nowNanos - load.atNanos()) / mMemoryNanos);
    }

    /**
     * Returns how long a request should wait at the first site before the second is better; {@link
     * Long#MAX_VALUE} if it should wait as long as it takes. A refusal for impatience costs a
     * token, so that only a near site, which refuses before the tokens are gone, is tried with
     * patience.
     *
     * @param order the sites in the order in which to try them
     * @param tokens the tokens that the retry budget has left
     */
    public long maxWaitNanos(List<Site> order, int tokens, long nowNanos) {
        if (order.size() < 2
                || tokens <= TOKENS_KEPT
                || order.get(0).roundTripNanos() > NEAR_NANOS) {
            return Long.MAX_VALUE;
        }
        Site first = order.get(0);
        Site second = order.get(1);
        double further =
                DISTANCE_WEIGHT * (second.roundTripNanos() - first.roundTripNanos())
                        + expectedWaitNanos(second.name(), nowNanos);
        return Math.max(LEAST_PATIENCE_NANOS, (long) further);
    }

    /** Returns the sites in the order in which to try them; equal ones keep their order. */
    public List<Site> rank(List<Site> sites, long nowNanos) {
        List<Site> order = new ArrayList<>(sites);
        Map<Site, Double> costs = new HashMap<>();
        for (Site site : sites) {
            costs.put(
                    site,
                    DISTANCE_WEIGHT * site.roundTripNanos() + expectedWaitNanos(site.name(), nowNanos));
        }
        order.sort(Comparator.comparingDouble(costs::get));
        return order;
    }
}
