package org.redwingladder.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Assigns the paths under a prefix to a work class.
 *
 * @param pathPrefix the prefix, starting with a slash
 * @param workClass the work class
 */
public record WorkClassRule(String pathPrefix, @JsonProperty("class") WorkClass workClass) {}
