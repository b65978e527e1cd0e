package org.redwingladder.api;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The response to a look-up: entry hosts in the order in which to try them.
 *
 * @param service the requested service
 * @param block the requested client block
 * @param entryHosts the entry hosts, best first
 * @param expiresAt when the response expires, in epoch milliseconds
 * @param settingsVersion the settings version on which the response is based
 * @param token a single-use token for a request that must not run more than once, if requested
 */
public record LookupResponse(
        String service,
        int block,
        List<EntryHost> entryHosts,
        long expiresAt,
        long settingsVersion,
        @Nullable String token) {

    public LookupResponse {
        entryHosts = List.copyOf(entryHosts);
    }
}
