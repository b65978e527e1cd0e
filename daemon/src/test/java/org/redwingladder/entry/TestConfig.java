package org.redwingladder.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.redwingladder.steering.HostSize;

/** Configures hosts that only talk to each other. */
final class TestConfig {
    /** An address at which nothing listens. */
    static final InetSocketAddress NOWHERE =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    private TestConfig() {}

    /** Returns the configuration of a host of zone z1 that listens to other hosts at an address. */
    static EntryConfig host(String name, InetSocketAddress peers) {
        return new EntryConfig(
                name,
                "z1",
                Map.of("z1", "r1"),
                NOWHERE,
                NOWHERE,
                NOWHERE,
                peers,
                List.of(),
                NOWHERE,
                new HostSize(1, 1000),
                new EntryConfig.Bounds(2000, 5000, 0.2, 100, 10_000));
    }
}
