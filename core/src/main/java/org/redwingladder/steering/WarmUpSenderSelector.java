package org.redwingladder.steering;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Selects the hosts that send requests to a cold server, so that all hosts together stay within the
 * rate it supports.
 *
 * <p>Each host finds the same subset by rendezvous hashing. The result is cached until the set of
 * hosts changes, because every request evaluates it for every server of a zone that returns from an
 * evacuation, all of which are cold. Not thread-safe.
 */
public final class WarmUpSenderSelector {
    /** Request rate from which on a host counts as having client traffic. */
    private static final double MIN_REQUESTS_PER_SECOND = 1;

    private final String mSelf;
    private final Map<String, Boolean> mSendsToServer = new HashMap<>();
    private TreeSet<String> mCandidates = new TreeSet<>();

    private WarmUpSenderSelector(String self) {
        mSelf = self;
    }

    /** Creates a selector for the host named {@code self}, without any candidates. */
    public static WarmUpSenderSelector create(String self) {
        return new WarmUpSenderSelector(self);
    }

    /**
     * Replaces the hosts that are alive. Serving hosts with client traffic are candidates; a sender
     * without traffic would leave a cold server without requests. Idle serving hosts are candidates
     * only while there are no others.
     */
    public void updateHosts(Collection<HostState> alive) {
        TreeSet<String> candidates = new TreeSet<>();
        TreeSet<String> idle = new TreeSet<>();
        for (HostState host : alive) {
            if (host.serving()) {
                (host.requestsPerSecond() >= MIN_REQUESTS_PER_SECOND ? candidates : idle)
                        .add(host.name());
            }
        }
        if (candidates.isEmpty()) {
            candidates = idle;
        }
        if (!candidates.equals(mCandidates)) {
            mCandidates = candidates;
            mSendsToServer.clear();
        }
    }

    /** Returns whether this host sends requests to the server while it is cold. */
    public boolean sendsTo(String serverId) {
        return mSendsToServer.computeIfAbsent(serverId, this::isSelected);
    }

    private boolean isSelected(String serverId) {
        int rank = RendezvousHash.rank(serverId, mCandidates).indexOf(mSelf);
        return rank >= 0 && rank < LoadBalancer.WARM_UP_SENDERS;
    }
}
