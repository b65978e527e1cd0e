package org.redwingladder.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.settings.Site;

/**
 * Decides whether a refused request is retried at the same site because its ownership is being
 * handed over.
 *
 * <p>A planned hand-over takes a few round trips inside a zone, so a short wait is worthwhile. A
 * takeover after a crash takes many seconds; no request waits for it. Instants are nanoseconds on
 * one monotonic clock. Thread-safe.
 */
final class HandoverRetryPolicy {
    /** The delay before a retry at the same site. */
    static final long RETRY_DELAY_MILLIS = 10;

    private static final long MAX_HANDOVER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    // A refusal that comes this long after the previous one belongs to another hand-over.
    private static final long HANDOVER_GAP_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<Site, Handover> mHandovers = new ConcurrentHashMap<>();

    /**
     * A period in which a site refuses requests for want of an owner with a lease.
     *
     * @param firstRefusalNanos the time of the first refusal
     * @param lastRefusalNanos the time of the latest refusal
     */
    private record Handover(long firstRefusalNanos, long lastRefusalNanos) {}

    /** Returns whether the refused request should be retried at the same site. */
    boolean shouldRetry(Site site, Refusal refusal, long nowNanos) {
        boolean ownerless =
                refusal.outcome() == Outcome.NOT_RUN
                        && (refusal.reason() == RefusalReason.NOT_OWNER
                                || refusal.reason() == RefusalReason.NOT_CONFIRMED);
        if (!ownerless) {
            completed(site);
            return false;
        }
        Handover handover =
                mHandovers.compute(
                        site,
                        (key, before) ->
                                before == null
                                                || nowNanos - before.lastRefusalNanos()
                                                        > HANDOVER_GAP_NANOS
                                        ? new Handover(nowNanos, nowNanos)
                                        : new Handover(before.firstRefusalNanos(), nowNanos));
        return nowNanos - handover.firstRefusalNanos() < MAX_HANDOVER_NANOS;
    }

    /** Records that the site has an owner again: it has processed a request. */
    void completed(Site site) {
        mHandovers.remove(site);
    }
}
