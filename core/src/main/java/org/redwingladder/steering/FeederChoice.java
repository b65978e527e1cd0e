package org.redwingladder.steering;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Chooses the few hosts that send to a cold server, so that all hosts together keep its rate.
 *
 * <p>Answers the load of a zone that returns: every server of it is cold, and each request asks for
 * all of them. The choice is kept until the hosts change. Not thread-safe.
 */
public final class FeederChoice {
    /** Requests a second from which on a host is taken to be used by clients. */
    private static final double MIN_DEMAND = 1;

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

    /**
     * Takes over what is known of the hosts that are alive. Hosts to which no clients are sent
     * would leave a cold server without requests; they count only while no other host serves.
     */
    public void hosts(Collection<HostEntry> alive) {
        TreeSet<String> hosts = new TreeSet<>();
        TreeSet<String> idle = new TreeSet<>();
        for (HostEntry host : alive) {
            if (host.serving()) {
                (host.requestsPerSecond() >= MIN_DEMAND ? hosts : idle).add(host.name());
            }
        }
        if (hosts.isEmpty()) {
            hosts = idle;
        }
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
