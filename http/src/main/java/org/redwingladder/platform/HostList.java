package org.redwingladder.platform;

import java.util.List;

/**
 * Holds the platform's list of hosts, which lags and is only a hint.
 *
 * @param version the list's version
 * @param hosts the hosts
 */
public record HostList(long version, List<Host> hosts) {

    /**
     * Describes a host.
     *
     * @param host the host's name
     * @param zone the host's availability zone
     * @param address the host's address
     * @param state {@code live} or {@code leaving}
     */
    public record Host(String host, String zone, String address, String state) {
        /** Returns whether the platform is about to take the host away. */
        public boolean leaving() {
            return "leaving".equals(state);
        }
    }

    public HostList {
        hosts = List.copyOf(hosts);
    }
}
