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
public final class FeederChoice {
    /** Request rate from which on a host counts as having client traffic. */
    private static final double MIN_DEMAND = 1;

    private final String mSelf;
    private final Map<String, Boolean> mFeeds = new HashMap<>();
    private TreeSet<String> mHosts = new TreeSet<>();

    private FeederChoice(String self) {
        mSelf = self;
    }

    /** Creates a selector for the host named {@code self}, without any candidates. */
    public static FeederChoice create(String self) {
        return new FeederChoice(self);
    }

    /**
     * Replaces the hosts that are alive. Serving hosts with client traffic are candidates; a sender
     * without traffic would leave a cold server without requests. Idle serving hosts are candidates
     * only while there are no others.
     */
    public void hosts(Collection<HostEntry> alive) {
        TreeSet<String> candidates = new TreeSet<>();
        TreeSet<String> idle = new TreeSet<>();
        for (HostEntry host : alive) {
            if (host.serving()) {
                (host.requestsPerSecond() >= MIN_DEMAND ? candidates : idle).add(host.name());
            }
        }
        if (candidates.isEmpty()) {
            candidates = idle;
        }
        if (!candidates.equals(mHosts)) {
            mHosts = candidates;
            mFeeds.clear();
        }
    }

    /** Returns whether this host sends requests to the server while it is cold. */
    public boolean feeds(String serverId) {
        return mFeeds.computeIfAbsent(serverId, this::choose);
    }

    private boolean choose(String serverId) {
        int rank = Rendezvous.order(serverId, mHosts).indexOf(mSelf);
        return rank >= 0 && rank < Placer.COLD_FEEDERS;
    }
}
