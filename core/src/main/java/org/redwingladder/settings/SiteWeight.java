package org.redwingladder.settings;

/**
 * States the share of look-ups that a site receives.
 *
 * @param weight the share relative to the service's other sites; 0 keeps look-ups away
 */
public record SiteWeight(int weight) {}
