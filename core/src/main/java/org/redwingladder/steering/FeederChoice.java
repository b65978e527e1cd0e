package org.redwingladder.steering;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Chooses the few hosts that send to a cold server, so that all hosts together keep its rate.
 *
 * <p>Answers the load of a zone that returns: every server of it is cold, and each request asks for
 * all of them. The choice is kept until the hosts change. Not thread-safe.
 */
public final class FeederChoice {
    private final String mSelf;
    private final Map<String, Boolean> mFeeds = new HashMap<>();
    private TreeSet<String> mHosts = new TreeSet<>();

    private FeederChoice(String self) {
        mSelf = self;
    }

    /** Creates a choice for a host that knows no other. */
    public static FeederChoice create(String self) {
        return new FeederChoice(self);
    }

    /** Takes over the names of the hosts that serve requests. */
    public void hosts(List<String> serving) {
        TreeSet<String> hosts = new TreeSet<>(serving);
        if (!hosts.equals(mHosts)) {
            mHosts = hosts;
            mFeeds.clear();
        }
    }

    /** Returns whether this host is one of those that send to the server while it is cold. */
    public boolean feeds(String serverId) {
        return mFeeds.computeIfAbsent(serverId, this::choose);
    }

    private boolean choose(String serverId) {
        int rank = Rendezvous.order(serverId, mHosts).indexOf(mSelf);
        return rank >= 0 && rank < Placer.COLD_FEEDERS;
    }
}
