package org.redwingladder.request;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.LookupAnswer;

/**
 * Shows the request path the state of the cluster as this host knows it.
 *
 * <p>All methods may be called from any thread, do not block, and answer from memory. Instants are
 * nanoseconds of {@link System#nanoTime}.
 */
public interface ClusterView {

    /** Returns who this process is. */
    Self self();

    /** Returns whether this host may take requests. */
    Readiness readiness();

    /** Returns the settings version in force, 0 before the first. */
    long settingsVersion();

    /** Returns the number of client blocks. */
    int blockCount();

    /** Returns what the settings in force say about a service; null if they do not name it. */
    @Nullable ServiceSpec service(String name);

    /**
     * Returns the availability zones in which a request is tried, in this order: the block's
     * primary and secondary site, then the others, nearer ones first.
     */
    List<String> candidateZones(String service, int block);

    /** Returns how long a request and its answer travel between this host and a zone. */
    default long roundTripNanos(String zone) {
        return 0;
    }

    /** Returns the answer to a look-up, without a token; null if the service is unknown. */
    @Nullable LookupAnswer lookup(String service, int block, long nowMillis);

    /** Returns the owner of a site; null if none is known. */
    @Nullable Peer ownerOf(String zone, String service);

    /** Returns a host by name, in any zone; null if it is not known. */
    @Nullable Peer host(String name);

    /** Returns the services of the sites that this host owns and may start to serve. */
    Collection<String> ownedServices();

    /** Returns what the owner of a site needs; null if this host does not own it. */
    @Nullable SiteSpec ownedSite(String service);

    /**
     * Returns until when this host may dispatch as an owner. The value is compared with the clock
     * right before each dispatch; it is in the past while the host is not confirmed.
     */
    long ownerLeaseExpiryNanos();

    /**
     * Returns until when this host may dispatch for one service; in the past also when its site has
     * just been stopped, which {@link ClusterListener} tells a moment later.
     */
    default long ownerLeaseExpiryNanos(String service) {
        // An hour ago, because callers may have read the clock well before this call.
        return ownedServices().contains(service)
                ? ownerLeaseExpiryNanos()
                : System.nanoTime() - TimeUnit.HOURS.toNanos(1);
    }

    /** Adds a listener for changes; it must not block. */
    void addListener(ClusterListener listener);

    /**
     * Names this process.
     *
     * @param host the host's name
     * @param incarnation names this start of the process
     * @param zone the host's availability zone
     */
    record Self(String host, long incarnation, String zone) {}

    /**
     * Names another entry host, or this one.
     *
     * @param host the host's name
     * @param incarnation the incarnation listed in its roster
     * @param zone the host's availability zone
     * @param peerAddress the host's peer listener
     */
    record Peer(String host, long incarnation, String zone, InetSocketAddress peerAddress) {}

    /**
     * Tells whether this host may take requests.
     *
     * @param state the state
     * @param reason why the host is not ready or stops; empty if it is ready
     */
    record Readiness(State state, String reason) {
        /** Names the states. */
        public enum State {
            READY,
            NOT_READY,
            STOPPING
        }
    }
}
