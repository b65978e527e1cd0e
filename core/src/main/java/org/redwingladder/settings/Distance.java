package org.redwingladder.settings;

import java.util.List;

/**
 * States the latency between two regions, or between the zones of one region.
 *
 * @param between two regions; one region named twice means the distance between its own zones
 * @param oneWayMillis the one-way latency in milliseconds
 */
public record Distance(List<String> between, double oneWayMillis) {

    public Distance {
        between = List.copyOf(between);
    }
}
