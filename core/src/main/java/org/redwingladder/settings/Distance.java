package org.redwingladder.settings;

import java.util.List;

/**
 * The network latency between two regions, or between the zones of one region.
 *
 * @param between two regions; the same region twice for the latency between its zones
 * @param oneWayMillis the one-way latency in milliseconds
 */
public record Distance(List<String> between, double oneWayMillis) {

    public Distance {
        between = List.copyOf(between);
    }
}
