package org.redwingladder.steering;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the requests of all hosts together within the rates that cold servers and servers with a
 * rate limit support, and their connections within the number that servers accept.
 *
 * <p>A few hosts share the rate of a server; the others send nothing to it. Each request of a
 * sender takes a permit, including retries, hedges and requests that the server rejects. Not
 * thread-safe.
 */
public final class SharedServerRates {
    /**
     * The number of hosts that send to one cold server. With more hosts, the share of each would be
     * so small that rounding wastes more of the rate.
     */
    static final int WARM_UP_SENDERS = 3;

    /**
     * The smallest number of hosts that send to one server with a rate limit. More hosts send to a
     * server with a higher limit, one for each {@link #LIMIT_PER_EXTRA_SENDER}.
     */
    private static final int MIN_LIMIT_SENDERS = 2;

    /** Requests per second of a limit for which one more host sends. */
    private static final double LIMIT_PER_EXTRA_SENDER = 2;

    /** The unused permits that each sender of a server with a rate limit keeps. */
    private static final int LIMIT_BURST = 2;

    /** A cold server may fail if the permits of several senders are used at the same time. */
    private static final int WARM_UP_BURST = 1;

    /** Far above the number of hosts. */
    private static final double MAX_LIMIT_SENDERS = 1e6;

    /**
     * The fraction of a server's rate limit that is used. The rest covers requests of former
     * senders that do not know yet that they were replaced.
     */
    private static final double LIMIT_UTILIZATION = 0.9;

    /**
     * The rate at which a server receives requests even if its limit is lower, in requests per
     * second. Without any request, no host would learn that the limit has ended.
     */
    static final double MIN_LIMIT_PER_SECOND = 0.2;

    /** The latest permit that is promised to a refused client. */
    private static final long MAX_PROMISE_NANOS = 2_000_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private final BackendSet mBackends;
    private int mHostCount = 1;
    private final Map<String, Long> mPromisedPermitNanos = new HashMap<>();
    private Shares mShares = (service, server, maxSenders) -> new SenderShare(1.0 / maxSenders, 0);

    /** Divides the rate of a server among the hosts. */
    public interface Shares {
        /**
         * Returns the share of a server's rate that this host may use.
         *
         * @param maxSenders the largest number of hosts that may share the rate
         */
        SenderShare share(String service, String serverId, int maxSenders);
    }

    /**
     * The rate that a server supports from all hosts together.
     *
     * @param perSecond the rate in requests per second
     * @param maxSenders the largest number of hosts that may share the rate
     * @param burst the largest number of unused permits of each sender
     */
    private record SharedRate(double perSecond, int maxSenders, int burst) {}

    SharedServerRates(BackendSet backends) {
        mBackends = backends;
    }

    void shares(Shares shares) {
        mShares = shares;
    }

    /** Returns whether this host may send a request to the server now. */
    boolean hasPermit(Backend backend, String service, long nowNanos) {
        SharedRate rate = sharedRate(backend, service, nowNanos);
        if (rate == null) {
            backend.pacer().stop();
            return true;
        }
        SenderShare share = mShares.share(service, backend.registration().id(), rate.maxSenders());
        return backend.pacer().hasPermit(rate.perSecond(), share, rate.burst(), nowNanos);
    }

    /** Returns the rate that all hosts share while a server is cold or limited, otherwise null. */
    private @Nullable SharedRate sharedRate(Backend backend, String service, long nowNanos) {
        boolean cold = backend.cold(nowNanos);
        if (!cold && !backend.limited()) {
            return null;
        }
        double limit = backend.limitPerSecond();
        int limitSenders =
                (int)
                        Math.min(
                                MAX_LIMIT_SENDERS,
                                MIN_LIMIT_SENDERS + Math.floor(limit / LIMIT_PER_EXTRA_SENDER));
        double limitRate = Math.max(MIN_LIMIT_PER_SECOND, LIMIT_UTILIZATION * limit);
        return cold
                ? new SharedRate(
                        Math.min(warmUpRate(service), limitRate),
                        Math.min(WARM_UP_SENDERS, limitSenders),
                        WARM_UP_BURST)
                : new SharedRate(limitRate, limitSenders, LIMIT_BURST);
    }

    void hostCount(int hosts) {
        mHostCount = Math.max(1, hosts);
    }

    /**
     * Returns the connections that this host may open to one server of a service, an equal part of
     * those that the server accepts from all hosts. Each carries one request at a time.
     */
    int maxConnections(String service) {
        ServiceSpec spec = mBackends.service(service);
        return spec == null ? 1 : Math.max(1, spec.maxConnections() / mHostCount);
    }

    private double warmUpRate(String service) {
        ServiceSpec spec = mBackends.service(service);
        return spec == null ? 0 : spec.coldRequestsPerSecond();
    }

    /**
     * Returns the time in milliseconds after which a refused client is likely to find a permit.
     * Each client is promised another permit, so that they do not return together.
     *
     * @param limited the servers that have no permit for the client now
     */
    long promisePermit(String service, List<Backend> limited, long nowNanos) {
        double perSecond = 0;
        long next = Long.MAX_VALUE;
        for (Backend backend : limited) {
            SharedRate rate = sharedRate(backend, service, nowNanos);
            if (rate == null) {
                continue;
            }
            // A returning client may reach any sender, so that each server counts with the part of
            // one sender even if this host is not among them.
            perSecond += rate.perSecond() / rate.maxSenders();
            if (backend.pacer().active()) {
                next = Math.min(next, backend.pacer().nextPermitNanos() - nowNanos);
            }
        }
        long interval = (long) (NANOS_PER_SECOND / Math.max(perSecond, MIN_LIMIT_PER_SECOND));
        long earliest = nowNanos + Math.max(0, Math.min(next, interval));
        Long promised = mPromisedPermitNanos.get(service);
        long permit = promised == null ? earliest : Math.max(earliest, promised + interval);
        if (permit - nowNanos > MAX_PROMISE_NANOS) {
            permit = earliest;
        }
        mPromisedPermitNanos.put(service, permit);
        return (permit - nowNanos) / 1_000_000;
    }
}
