package org.redwingladder.tool;

import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Sends the messages of a client to entry hosts. The futures never fail. */
interface Transport {

    /**
     * Sends one attempt.
     *
     * @param address the client listener as {@code ip:port}
     * @param requestId the attempt's request id
     * @param token the token, if there is one
     */
    CompletableFuture<AttemptResult> send(
            String address, Work work, String requestId, @Nullable String token);

    /**
     * Asks for entry hosts.
     *
     * @param address the client listener as {@code ip:port}
     * @param once whether to ask for a token
     * @param deadlineMillis when to give up, in epoch milliseconds
     */
    CompletableFuture<LookupResult> lookup(
            String address, String service, int block, boolean once, long deadlineMillis);
}
