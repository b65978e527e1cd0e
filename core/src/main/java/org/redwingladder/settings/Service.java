package org.redwingladder.settings;

import java.util.SortedMap;

/**
 * Describes a service.
 *
 * @param maxRequestMillis the longest time a request may run
 * @param rampMillis the time in which a cold backend server comes up to all its slots
 * @param longSlotsPercent the share of a site's slots that long work may hold
 * @param classes the stated classes of work, by name
 * @param zones the sites, by zone
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
