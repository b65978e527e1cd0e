package org.redwingladder.steering;

import java.util.HashSet;
import java.util.Set;

/**
 * The backend servers to which a request was sent. Not thread-safe.
 *
 * <p>A request is sent to an id and to an address at most once, also if the server registers again
 * meanwhile. Responses bear the id of their request, which does not tell two sends of one request
 * apart: a copy of an earlier response would pass as that of the later send.
 */
public final class TriedServers {
    private final Set<String> mIds = new HashSet<>();
    private final Set<String> mAddresses = new HashSet<>();

    /** Adds a server. */
    public void add(ServerRegistration server) {
        mIds.add(server.id());
        mAddresses.add(server.address());
    }

    /** Returns whether the request was sent to a server with the same id or address. */
    public boolean contains(ServerRegistration server) {
        return mIds.contains(server.id()) || mAddresses.contains(server.address());
    }
}
