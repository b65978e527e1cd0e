package org.redwingladder.settings;

import java.util.SortedMap;

/**
 * A service.
 *
 * @param maxRequestMillis the maximum duration of a request
 * @param rampMillis the slow-start time in which a cold backend server ramps up to all its slots
 * @param longSlotsPercent the share of a site's slots that long work may occupy
 * @param classes the work class rules, by name
 * @param zones the look-up weights of the sites, by zone
 */
public record Service(
        long maxRequestMillis,
        long rampMillis,
        int longSlotsPercent,
        SortedMap<String, WorkClassRule> classes,
        SortedMap<String, SiteWeight> zones) {

    public Service {
        classes = DeploymentSettings.sorted(classes);
        zones = DeploymentSettings.sorted(zones);
    }
}
