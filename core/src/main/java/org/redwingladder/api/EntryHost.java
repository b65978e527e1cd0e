package org.redwingladder.api;

/**
 * Names an entry host in a look-up answer.
 *
 * @param host the host's name
 * @param zone the host's availability zone
 * @param address the client listener as {@code ip:port}
 */
public record EntryHost(String host, String zone, String address) {}
