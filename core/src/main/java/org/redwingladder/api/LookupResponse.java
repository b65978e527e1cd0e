package org.redwingladder.api;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Answers a look-up with entry hosts in the order in which to try them.
 *
 * @param service the service that was asked for
 * @param block the client block that was asked for
 * @param entryHosts the entry hosts, best first
 * @param expiresAt when the answer must no longer be used, in epoch milliseconds
 * @param settingsVersion the settings version that the answer follows
 * @param token the token for work that must not repeat, if one was asked for
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
