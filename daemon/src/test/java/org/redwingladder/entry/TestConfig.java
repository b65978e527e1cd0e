package org.redwingladder.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.redwingladder.steering.HostResources;

/** Configurations of hosts that only communicate with their peers. */
final class TestConfig {
    /** An address that refuses connections. */
    static final InetSocketAddress UNREACHABLE =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    private TestConfig() {}

    /** Returns the configuration of a host of zone z1 with the given listen address for peers. */
    static EntryConfig host(String name, InetSocketAddress peers) {
        return new EntryConfig(
                name,
                "z1",
                Map.of("z1", "r1"),
                UNREACHABLE,
                UNREACHABLE,
                UNREACHABLE,
                peers,
                List.of(),
                UNREACHABLE,
                new HostResources(1, 1000),
                new EntryConfig.Bounds(2000, 5000, 0.2, 100, 10_000));
    }
}
