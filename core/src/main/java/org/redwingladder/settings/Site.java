package org.redwingladder.settings;

import java.util.Comparator;

/**
 * The deployment of one service in one availability zone.
 *
 * @param service the service
 * @param zone the zone
 */
public record Site(String service, String zone) implements Comparable<Site> {
    private static final Comparator<Site> ORDER =
            Comparator.comparing(Site::service).thenComparing(Site::zone);

    @Override
    public int compareTo(Site other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return service + "@" + zone;
    }
}
