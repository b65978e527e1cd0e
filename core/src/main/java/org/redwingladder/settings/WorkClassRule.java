package org.redwingladder.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Assigns the paths under a prefix to a class of work.
 *
 * @param pathPrefix the prefix, starting with a slash
 * @param workClass the class of work
 */
public record WorkClassRule(String pathPrefix, @JsonProperty("class") WorkClass workClass) {}
