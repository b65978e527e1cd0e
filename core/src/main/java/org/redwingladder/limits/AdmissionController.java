package org.redwingladder.limits;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.RefusalReason;

/**
 * Applies all caps of one site: request rates, requests in flight and link bandwidth.
 *
 * <p>Each request is checked against a rate twice. {@link #tryAdmit} counts it on arrival, so that
 * a request above the cap is refused immediately. {@link #trySend} counts it when it is sent to a
 * backend server, because queued requests could otherwise be sent in a burst that exceeds the cap.
 * Instants are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class AdmissionController {
    /** The backlog of a link from which new requests over it are refused. */
    private static final long MAX_LINK_BACKLOG_NANOS = 1_000_000_000L;

    /** Retry delay for an in-flight cap; when a request will end is unknown. */
    private static final long IN_FLIGHT_RETRY_NANOS = 100_000_000L;

    /** Retry delay for a closed link, which only another settings version opens. */
    private static final long CLOSED_LINK_RETRY_NANOS = 1_000_000_000L;

    private final Map<String, String> mRegionOfZone;
    private final Map<String, CapState> mCaps = new LinkedHashMap<>();
    private final Map<String, CapState[]> mCapsByZone = new HashMap<>();
    private final Map<String, LinkPacer> mPacersByRegion = new HashMap<>();
    private final Set<String> mClosedRegions = new HashSet<>();

    private AdmissionController(Map<String, String> regionOfZone) {
        mRegionOfZone = Map.copyOf(regionOfZone);
    }

    /**
     * Creates the admission controller of a site.
     *
     * @param regionOfZone the region of each zone that requests may come from
     * @param caps the site's shares of the caps
     * @param bitsPerSecondByRegion the site's share of the link to each other region
     */
    public static AdmissionController create(
            Map<String, String> regionOfZone,
            List<SiteCap> caps,
            Map<String, Long> bitsPerSecondByRegion,
            long nowNanos) {
        AdmissionController controller = new AdmissionController(regionOfZone);
        controller.update(caps, bitsPerSecondByRegion, nowNanos);
        return controller;
    }

    /** Returns a controller that admits all requests. */
    public static AdmissionController unlimited() {
        return new AdmissionController(Map.of());
    }

    /**
     * Replaces the caps by those of another settings version. Requests in flight stay counted, and
     * a bucket whose rate changes starts empty. A link whose rate is too low to be paced is closed
     * to new requests: the site's share of a link is zero while another zone still applies a
     * settings version without the service.
     */
    public void update(List<SiteCap> caps, Map<String, Long> bitsPerSecondByRegion, long nowNanos) {
        Map<String, CapState> old = new HashMap<>(mCaps);
        mCaps.clear();
        mCapsByZone.clear();
        for (SiteCap cap : caps) {
            CapState state = old.get(cap.name());
            if (state == null || !state.mCap.from().equals(cap.from())) {
                state = new CapState(cap, nowNanos);
            } else {
                state.update(cap, nowNanos);
            }
            mCaps.put(cap.name(), state);
        }
        mPacersByRegion.keySet().retainAll(bitsPerSecondByRegion.keySet());
        mClosedRegions.clear();
        bitsPerSecondByRegion.forEach(
                (region, bits) -> {
                    if (bits < LinkPacer.MIN_BITS_PER_SECOND) {
                        // Answers to requests that are already admitted still need the pacer.
                        mClosedRegions.add(region);
                        return;
                    }
                    LinkPacer pacer = mPacersByRegion.get(region);
                    if (pacer == null || pacer.bitsPerSecond() != bits) {
                        mPacersByRegion.put(region, LinkPacer.createEmpty(bits, nowNanos));
                    }
                });
    }

    /**
     * Counts each in-flight cap as used up by a former owner until {@code untilNanos}, because the
     * number of its requests is unknown.
     */
    public void inheritInFlight(long untilNanos) {
        inheritInFlight(Integer.MAX_VALUE, untilNanos);
    }

    /**
     * Counts {@code count} requests of a former owner as in flight until {@code untilNanos}.
     * Because the caps of each request are unknown, all of them count against every cap, limited to
     * that cap.
     */
    public void inheritInFlight(int count, long untilNanos) {
        for (CapState cap : mCaps.values()) {
            if (cap.mCap.inFlight() != SiteCap.UNLIMITED) {
                cap.mInFlight.inherit(Math.min(count, cap.mInFlight.cap()), untilNanos);
            }
        }
    }

    /**
     * Admits a request from {@code fromZone} if all its caps allow it. A refused request consumes
     * nothing.
     */
    public Admission tryAdmit(String fromZone, long nowNanos) {
        String region = mRegionOfZone.get(fromZone);
        if (region != null && mClosedRegions.contains(region)) {
            return new Admission.Refused(
                    RefusalReason.LINK_FULL, region, nowNanos + CLOSED_LINK_RETRY_NANOS);
        }
        LinkPacer pacer = pacerTo(fromZone);
        if (pacer != null && pacer.freeAtNanos() - nowNanos > MAX_LINK_BACKLOG_NANOS) {
            return new Admission.Refused(
                    RefusalReason.LINK_FULL,
                    requireNonNull(mRegionOfZone.get(fromZone)),
                    pacer.freeAtNanos() - MAX_LINK_BACKLOG_NANOS);
        }
        CapState[] caps = capsOf(fromZone);
        for (CapState cap : caps) {
            Admission.@Nullable Refused refused = cap.check(nowNanos);
            if (refused != null) {
                return refused;
            }
        }
        for (CapState cap : caps) {
            cap.acquire(nowNanos);
        }
        return new Admission.Admitted(caps);
    }

    /**
     * Returns whether an admitted request may be sent to a backend server now, and counts it
     * against the rates if so.
     */
    public boolean trySend(Admission.Admitted admitted, long nowNanos) {
        if (sendAtNanos(admitted, nowNanos) > nowNanos) {
            return false;
        }
        for (CapState cap : admitted.caps()) {
            if (cap.mSends != null) {
                cap.mSends.tryAcquire(nowNanos);
            }
        }
        return true;
    }

    /**
     * Returns the earliest instant at which an admitted request may be sent, {@link Long#MAX_VALUE}
     * if one of its caps is zero.
     */
    public long sendAtNanos(Admission.Admitted admitted, long nowNanos) {
        long at = nowNanos;
        for (CapState cap : admitted.caps()) {
            if (cap.mClosed) {
                return Long.MAX_VALUE;
            }
            if (cap.mSends != null) {
                at = Math.max(at, cap.mSends.nextTokenNanos());
            }
        }
        return at;
    }

    /** Releases the in-flight permits of a request; a second call has no effect. */
    public void release(Admission.Admitted admitted) {
        if (!admitted.markReleased()) {
            return;
        }
        for (CapState cap : admitted.caps()) {
            cap.mInFlight.release();
        }
    }

    /**
     * Releases the in-flight permits of a request at {@code atNanos}, for an abandoned request that
     * a server may process until then. A later release has no effect.
     */
    public void releaseAt(Admission.Admitted admitted, long atNanos) {
        if (!admitted.markReleased()) {
            return;
        }
        for (CapState cap : admitted.caps()) {
            cap.mInFlight.releaseAt(atNanos);
        }
    }

    /**
     * Returns the largest number of requests in flight under any cap, excluding those of a former
     * owner.
     */
    public int maxInFlight(long nowNanos) {
        return mCaps.values().stream()
                .mapToInt(cap -> cap.mInFlight.ownInFlight(nowNanos))
                .max()
                .orElse(0);
    }

    /** Returns the pacer of answers to a zone, or null if the link to its region is not limited. */
    public @Nullable LinkPacer pacerTo(String zone) {
        String region = mRegionOfZone.get(zone);
        return region == null ? null : mPacersByRegion.get(region);
    }

    private CapState[] capsOf(String zone) {
        CapState[] known = mCapsByZone.get(zone);
        if (known != null) {
            return known;
        }
        CapState[] caps = matchingCaps(zone);
        // Zone names come from requests; caching unknown ones would grow the map without bound.
        if (mRegionOfZone.containsKey(zone)) {
            mCapsByZone.put(zone, caps);
        }
        return caps;
    }

    private CapState[] matchingCaps(String zone) {
        List<CapState> matching = new ArrayList<>();
        for (CapState cap : mCaps.values()) {
            String from = cap.mCap.from();
            if (from.equals(SiteCap.ANY)
                    || from.equals(zone)
                    || from.equals(mRegionOfZone.get(zone))) {
                matching.add(cap);
            }
        }
        return matching.toArray(CapState[]::new);
    }

    /** The rate and in-flight state of one cap. */
    static final class CapState {
        private SiteCap mCap;
        private @Nullable TokenBucket mArrivals;
        private @Nullable TokenBucket mSends;
        private final ConcurrencyLimiter mInFlight;
        private boolean mClosed;

        CapState(SiteCap cap, long nowNanos) {
            mCap = cap;
            setRate(cap.requestsPerSecond(), nowNanos);
            mInFlight = ConcurrencyLimiter.of(inFlightLimit(cap));
        }

        /** Unlimited caps count requests as well, since a later settings version may limit them. */
        private static int inFlightLimit(SiteCap cap) {
            return cap.inFlight() == SiteCap.UNLIMITED ? Integer.MAX_VALUE : cap.inFlight();
        }

        void update(SiteCap cap, long nowNanos) {
            if (cap.requestsPerSecond() != mCap.requestsPerSecond()) {
                setRate(cap.requestsPerSecond(), nowNanos);
            }
            mInFlight.updateCap(inFlightLimit(cap));
            mCap = cap;
        }

        private void setRate(long perSecond, long nowNanos) {
            mClosed = perSecond == 0;
            boolean limited = perSecond > 0;
            mArrivals = limited ? TokenBucket.createEmpty(perSecond, nowNanos) : null;
            mSends = limited ? TokenBucket.createEmpty(perSecond, nowNanos) : null;
        }

        Admission.@Nullable Refused check(long nowNanos) {
            if (mClosed) {
                return new Admission.Refused(RefusalReason.CAP_RATE, mCap.name(), 0);
            }
            if (mArrivals != null && mArrivals.nextTokenNanos() > nowNanos) {
                return new Admission.Refused(
                        RefusalReason.CAP_RATE, mCap.name(), mArrivals.nextTokenNanos());
            }
            if (!mInFlight.hasPermit(nowNanos)) {
                long carriedUntil = mInFlight.inheritedUntilNanos(nowNanos);
                long retryAt =
                        carriedUntil > nowNanos ? carriedUntil : nowNanos + IN_FLIGHT_RETRY_NANOS;
                return new Admission.Refused(RefusalReason.CAP_IN_FLIGHT, mCap.name(), retryAt);
            }
            return null;
        }

        void acquire(long nowNanos) {
            if (mArrivals != null) {
                mArrivals.tryAcquire(nowNanos);
            }
            mInFlight.tryAcquire(nowNanos);
        }
    }
}
