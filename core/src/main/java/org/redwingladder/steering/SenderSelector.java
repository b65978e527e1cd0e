package org.redwingladder.steering;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Selects the hosts that send requests to a backend server which supports a fixed rate from all
 * hosts together, and divides the rate among them.
 *
 * <p>Each host finds the same senders by rendezvous hashing over the hosts with client traffic for
 * the service. Hosts learn of changes at different times. A host therefore uses the smallest share
 * that it had in the last {@link #HANDOVER_NANOS}: a new sender starts when the former one has
 * stopped. During a network partition each part of the hosts uses a share of the rate in proportion
 * to its size. Not thread-safe.
 */
public final class SenderSelector {
    /** Exceeds the time in which a change of the hosts becomes known to all of them. */
    static final long HANDOVER_NANOS = 3_000_000_000L;

    /** Request rate from which on a host counts as having client traffic for a service. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.5;

    private final String mSelf;
    private final ArrayDeque<View> mViews = new ArrayDeque<>();
    private final Map<ShareKey, SenderShare> mShares = new HashMap<>();

    /**
     * The hosts as they were known from an instant on.
     *
     * @param serving the serving hosts
     * @param withTraffic the serving hosts with client traffic, by service
     * @param reachableFraction the fraction of the recently known hosts that are alive
     */
    private record Hosts(
            Set<String> serving, Map<String, Set<String>> withTraffic, double reachableFraction) {

        /** A sender without traffic would leave a server without requests. */
        Set<String> candidates(String service) {
            return withTraffic.getOrDefault(service, serving);
        }
    }

    /** Hosts that were known from an instant on, and this host's shares among them. */
    private record View(Hosts hosts, long fromNanos, Map<ShareKey, SenderShare> shares) {
        View(Hosts hosts, long fromNanos) {
            this(hosts, fromNanos, new HashMap<>());
        }
    }

    private record ShareKey(String service, String serverId, int maxSenders) {}

    private SenderSelector(String self) {
        mSelf = self;
    }

    /** Creates a selector for the host named {@code self}, which knows no hosts. */
    public static SenderSelector create(String self) {
        return new SenderSelector(self);
    }

    /**
     * Replaces the hosts that are alive. Must be called often enough that the views of the last
     * {@link #HANDOVER_NANOS} are known; at least once a second.
     *
     * @param reachableFraction the fraction of the recently known hosts that are alive
     */
    public void updateHosts(Collection<HostState> alive, double reachableFraction, long nowNanos) {
        Set<String> serving = new HashSet<>();
        Map<String, Set<String>> withTraffic = new HashMap<>();
        for (HostState host : alive) {
            if (host.serving()) {
                serving.add(host.name());
                host.demand()
                        .forEach(
                                (service, rate) -> {
                                    if (rate >= MIN_REQUESTS_PER_SECOND) {
                                        withTraffic
                                                .computeIfAbsent(service, s -> new HashSet<>())
                                                .add(host.name());
                                    }
                                });
            }
        }
        Hosts hosts = new Hosts(serving, withTraffic, reachableFraction);
        View last = mViews.peekLast();
        if (last == null) {
            mViews.add(new View(new Hosts(new HashSet<>(), Map.of(), 0), nowNanos));
        }
        if (last == null || !last.hosts().equals(hosts)) {
            mViews.add(new View(hosts, nowNanos));
            mShares.clear();
        }
        removeOutdatedViews(nowNanos);
    }

    private void removeOutdatedViews(long nowNanos) {
        while (mViews.size() > 1) {
            View first = mViews.removeFirst();
            View second = mViews.getFirst();
            if (nowNanos - second.fromNanos() < HANDOVER_NANOS) {
                mViews.addFirst(first);
                return;
            }
            mShares.clear();
        }
    }

    /**
     * Returns the share of a server's rate that this host may use.
     *
     * @param maxSenders the largest number of hosts that may share the rate
     */
    public SenderShare share(String service, String serverId, int maxSenders) {
        return mShares.computeIfAbsent(
                new ShareKey(service, serverId, maxSenders), this::computeShare);
    }

    private SenderShare computeShare(ShareKey key) {
        double fraction = 1;
        int position = 0;
        for (View view : mViews) {
            SenderShare share =
                    view.shares().computeIfAbsent(key, k -> shareAmong(view.hosts(), k));
            if (share.fraction() == 0) {
                return SenderShare.NONE;
            }
            fraction = Math.min(fraction, share.fraction());
            position = share.position();
        }
        return mViews.isEmpty() ? SenderShare.NONE : new SenderShare(fraction, position);
    }

    private SenderShare shareAmong(Hosts hosts, ShareKey key) {
        Set<String> candidates = hosts.candidates(key.service());
        if (!candidates.contains(mSelf)) {
            return SenderShare.NONE;
        }
        int senders = Math.min(key.maxSenders(), candidates.size());
        int position = RendezvousHash.positionBefore(senders, key.serverId(), mSelf, candidates);
        return position < 0
                ? SenderShare.NONE
                : new SenderShare(hosts.reachableFraction() / senders, position);
    }
}
