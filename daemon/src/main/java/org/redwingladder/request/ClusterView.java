package org.redwingladder.request;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.LookupResponse;

/**
 * A read-only view of the cluster as known to this host: settings in force, site owners, caps.
 *
 * <p>All methods are thread-safe, answer from memory and do not block. Instants in nanoseconds are
 * on the clock of {@link System#nanoTime}.
 */
public interface ClusterView {

    /** Returns the identity of this process. */
    Self self();

    /** Returns whether this host accepts requests. */
    Readiness readiness();

    /** Returns the settings version in force; 0 before the first settings were received. */
    long settingsVersion();

    /** Returns the number of client blocks. */
    int blockCount();

    /** Returns a service of the settings in force; null if there is no such service. */
    @Nullable ServiceSpec service(String name);

    /**
     * Returns the availability zones of the service's sites in the order of preference: the block's
     * primary and secondary site, then the remaining ones by increasing distance.
     */
    List<String> candidateZones(String service, int block);

    /** Returns the network round-trip time between this host and a zone, in nanoseconds. */
    default long roundTripNanos(String zone) {
        return 0;
    }

    /** Returns the look-up answer for a block, without a token; null if the service is unknown. */
    @Nullable LookupResponse lookup(String service, int block, long nowMillis);

    /** Returns the owner of a site; null if none is known. */
    @Nullable Peer ownerOf(String zone, String service);

    /** Returns an entry host by name, in any zone; null if it is unknown. */
    @Nullable Peer host(String name);

    /** Returns the services whose site in this zone this host owns and may serve. */
    Collection<String> ownedServices();

    /** Returns the configuration of an owned site; null if this host does not own it. */
    @Nullable SiteSpec ownedSite(String service);

    /**
     * Returns when this host's lease as a site owner expires; in the past while it holds none. The
     * zone's members renew the lease by confirming the host. A dispatch is allowed only if the
     * clock, read right before it, is earlier.
     */
    long ownerLeaseExpiryNanos();

    /**
     * Returns when this host's lease as the owner of a service's site expires. It is in the past as
     * soon as the site is no longer owned, even if {@link ClusterListener#stopSite} is yet to be
     * called.
     */
    default long ownerLeaseExpiryNanos(String service) {
        // One hour in the past, because callers may have read the clock well before this call.
        return ownedServices().contains(service)
                ? ownerLeaseExpiryNanos()
                : System.nanoTime() - TimeUnit.HOURS.toNanos(1);
    }

    /** Adds a listener, whose methods must not block. */
    void addListener(ClusterListener listener);

    /**
     * The identity of this process.
     *
     * @param host the host's name
     * @param incarnation identifies this run of the process; higher than those of earlier runs
     * @param zone the host's availability zone
     */
    record Self(String host, long incarnation, String zone) {}

    /**
     * An entry host, which may be this one.
     *
     * @param host the host's name
     * @param incarnation the incarnation listed in its zone's roster
     * @param zone the host's availability zone
     * @param peerAddress the address of the host's peer listener
     */
    record Peer(String host, long incarnation, String zone, InetSocketAddress peerAddress) {}

    /**
     * Whether this host accepts requests.
     *
     * @param state the readiness state
     * @param reason why the host is not ready or is stopping; empty if it is ready
     */
    record Readiness(State state, String reason) {
        /** The readiness states. */
        public enum State {
            READY,
            NOT_READY,
            STOPPING
        }
    }
}
