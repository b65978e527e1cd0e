package org.redwingladder.platform;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * Holds one row of the platform's table.
 *
 * @param key the row's key
 * @param version the row's version; 0 if the row is absent
 * @param value the row's value; null if the row is absent
 */
public record Row(String key, long version, @Nullable JsonNode value) {}
