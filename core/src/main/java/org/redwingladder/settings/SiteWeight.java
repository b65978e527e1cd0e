package org.redwingladder.settings;

/**
 * The weight of a site in look-ups.
 *
 * @param weight the share of look-ups relative to the service's other sites; 0 excludes the site
 */
public record SiteWeight(int weight) {}
