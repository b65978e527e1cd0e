package org.redwingladder.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.limits.SiteLimits;

/**
 * Decides for one site which request goes to which backend server, and when.
 *
 * <p>One thread at a time drives a dispatcher: it reports events, carries out the returned actions,
 * then calls {@link #next} and carries out what that returns, and calls {@link #tick} at {@link
 * #wakeAtNanos}. The driver compares the clock with the owner's confirmation before it calls {@link
 * #next}. Instants are nanoseconds of one monotonic clock that never runs backwards.
 */
public final class SiteDispatcher {
    private final SiteLimits mLimits;
    private final RandomGenerator mRandom;
    private SiteConfig mConfig;

    private SiteDispatcher(SiteConfig config, SiteLimits limits, RandomGenerator random) {
        mConfig = config;
        mLimits = limits;
        mRandom = random;
    }

    /**
     * Creates the dispatcher of a site whose owner has just started.
     *
     * @param config what the settings say
     * @param limits the site's caps, driven by the dispatcher from now on
     * @param random breaks ties between backend servers
     */
    public static SiteDispatcher create(
            SiteConfig config, SiteLimits limits, RandomGenerator random, long nowNanos) {
        return new SiteDispatcher(config, limits, random);
    }

    /** Follows another settings version; requests in flight go on. */
    public void configure(SiteConfig config, long nowNanos) {
        mConfig = config;
    }

    /** Takes a request into the queue, or refuses it at once. */
    public List<DispatchAction> offer(SiteRequest request, long nowNanos) {
        return List.of();
    }

    /** Returns the sends that are possible now, and refusals of requests that expired meanwhile. */
    public List<DispatchAction> next(long nowNanos) {
        return new ArrayList<>();
    }

    /**
     * Reports that an answer has begun to arrive and will be streamed, which decides its request.
     * {@link #completed} follows at the end of the answer.
     */
    public List<DispatchAction> answerBegan(long attempt, long nowNanos) {
        return List.of();
    }

    /** Reports the end of an attempt. */
    public List<DispatchAction> completed(long attempt, AttemptResult result, long nowNanos) {
        return List.of();
    }

    /** Reports that the client has gone; its request leaves the queue or is cancelled. */
    public List<DispatchAction> cancelled(long requestId, long nowNanos) {
        return List.of();
    }

    /** Reports what a backend server says of itself. */
    public void reported(String backend, LoadReport report, long nowNanos) {}

    /** Does what is due: expiry, hedges, ejections. */
    public List<DispatchAction> tick(long nowNanos) {
        return List.of();
    }

    /**
     * Refuses all requests that wait in the queue, because the owner stops, has lost the site, or
     * is not confirmed. Requests in flight go on.
     */
    public List<DispatchAction> refuseQueued(
            RefusalReason reason, long retryAtNanos, long nowNanos) {
        return List.of();
    }

    /** Returns when {@link #tick} is to be called next; {@link Long#MAX_VALUE} if never. */
    public long wakeAtNanos() {
        return Long.MAX_VALUE;
    }

    /** Returns figures for metrics and status pages. */
    public SiteStatus status(long nowNanos) {
        return new SiteStatus(mConfig.service(), 0, 0, 0, 0, List.of());
    }

    /** Returns the site's caps, for the pacing of answers. */
    public SiteLimits limits() {
        return mLimits;
    }
}
