package org.redwingladder.api;

/**
 * An entry host in a look-up response.
 *
 * @param host the host's name
 * @param zone the host's availability zone
 * @param address the address of the client listener as {@code ip:port}
 */
public record EntryHost(String host, String zone, String address) {}
