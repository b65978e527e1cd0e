package org.redwingladder.routing;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The settings of a site.
 *
 * @param service the site's service
 * @param maxRequestNanos the longest time that a request may take
 * @param rampNanos how long the slow start of a backend server takes; 0 for none
 * @param longSlotsPercent the largest share of the slots that long work may occupy
 * @param backends the site's backend servers
 */
public record SiteConfig(
        String service,
        long maxRequestNanos,
        long rampNanos,
        int longSlotsPercent,
        List<BackendSpec> backends) {

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if the percentage is not 0 to 100
     */
    public SiteConfig {
        requireNonNull(service, "service");
        if (longSlotsPercent < 0 || longSlotsPercent > 100) {
            throw new IllegalArgumentException("longSlotsPercent: " + longSlotsPercent);
        }
        backends = List.copyOf(backends);
    }
}
