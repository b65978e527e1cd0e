package org.redwingladder.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.settings.Site;

/**
 * Tells whether a refused request should wait for a new owner of the same site. A planned hand-over
 * takes a few rounds of messages inside a zone; a takeover after a crash takes many seconds, for
 * which no request waits. Instants are nanoseconds of one monotonic clock.
 */
final class HandoverRetryPolicy {
    /** How long a request waits before it tries the same site again. */
    static final long STEP_MILLIS = 10;

    private static final long PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    // Without a refusal for this long, an earlier change of the owner is over.
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<Site, Spell> mSpells = new ConcurrentHashMap<>();

    /**
     * Describes a time in which a site refuses as if it had no owner.
     *
     * @param since the first refusal
     * @param last the latest refusal
     */
    private record Spell(long since, long last) {}

    /** Returns whether the request that was refused should be tried at the same site again. */
    boolean shouldWait(Site site, Refusal refusal, long nowNanos) {
        boolean ownerChanges =
                refusal.outcome() == Outcome.NOT_RUN
                        && (refusal.reason() == RefusalReason.NOT_OWNER
                                || refusal.reason() == RefusalReason.NOT_CONFIRMED);
        if (!ownerChanges) {
            served(site);
            return false;
        }
        Spell spell =
                mSpells.compute(
                        site,
                        (key, before) ->
                                before == null || nowNanos - before.last() > FORGET_NANOS
                                        ? new Spell(nowNanos, nowNanos)
                                        : new Spell(before.since(), nowNanos));
        return nowNanos - spell.since() < PATIENCE_NANOS;
    }

    /** Records that the site's owner has dealt with a request. */
    void served(Site site) {
        mSpells.remove(site);
    }
}
