package org.redwingladder.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.redwingladder.steering.LoadSample;
import org.redwingladder.steering.ObjectKeys;
import org.redwingladder.steering.RateLimitStatement;

/** Encodes and decodes the headers and paths that clients and backend servers use. */
public interface WireFormat {

    /**
     * The decoded headers of a client's request.
     *
     * @param requestId the id that correlates the response with the request, null if there is none
     * @param objectKey the affinity key, which names the object that the request concerns, null if
     *     unknown
     * @param timeoutMillis how long the client waits for the response, -1 if unspecified
     */
    record ClientHeaders(
            @Nullable String requestId, @Nullable String objectKey, long timeoutMillis) {
        public ClientHeaders {
            objectKey = ObjectKeys.bounded(objectKey);
        }
    }

    /**
     * The decoded status and headers of a backend server's response.
     *
     * @param notRun whether the request certainly did not run
     * @param misdirected whether another server than the expected one listens at the address
     * @param processed whether the response proves that the server processed the request
     * @param load the server's reported load, null if the response contains no valid report
     * @param limit the request rate that the server accepts from all hosts together
     * @param coldMillis for how much longer the server says that it is cold, null if it says
     *     nothing
     * @param leaving whether the server says that it leaves
     * @param retryAfterMillis for how long the server, which rejects the request, wants nothing
     *     more from this host; 0 if it says nothing
     */
    record ServerHeaders(
            boolean notRun,
            boolean misdirected,
            boolean processed,
            @Nullable LoadSample load,
            RateLimitStatement limit,
            @Nullable Long coldMillis,
            boolean leaving,
            long retryAfterMillis) {

        /** Returns whether the expected server sent the response. */
        boolean fromExpectedServer() {
            return !misdirected && (processed || notRun);
        }

        /**
         * Returns whether {@link #limit} is a statement of the expected server. A rejection may
         * omit the limit that the server states in its other responses.
         */
        boolean statesRateLimit() {
            return fromExpectedServer()
                    && (processed || !(limit instanceof RateLimitStatement.Unlimited));
        }
    }

    /**
     * A backend server's answer to a health check.
     *
     * @param serverId the id that the server states, null if it states none
     * @param coldMillis for how much longer the server says that it is cold, null if it says
     *     nothing
     * @param leaving whether the server says that it leaves
     */
    record Health(@Nullable String serverId, @Nullable Long coldMillis, boolean leaving) {}

    /**
     * A client's look-up of entry hosts.
     *
     * @param region the client's region
     * @param zone the client's availability zone
     */
    record Lookup(String region, String zone) {}

    /** Decodes the headers of a client's request. */
    ClientHeaders parseClientHeaders(HeaderMap headers);

    /** Decodes the status and headers of a backend server's response. */
    ServerHeaders parseServerHeaders(int status, HeaderMap headers);

    /** Decodes the headers of an answer to a health check. */
    Health parseHealth(HeaderMap headers);

    /** Returns the name of the header that correlates responses with requests. */
    HttpString requestIdHeader();

    /**
     * Writes the headers of a request to a backend server.
     *
     * @param from the client's headers
     * @param to the headers to fill
     * @param serverId the only server that may run the request
     * @param timeoutMillis how long this host waits for the response
     */
    void writeServerHeaders(HeaderMap from, HeaderMap to, String serverId, long timeoutMillis);

    /** Copies the end-to-end headers of a backend server's response to the client's response. */
    void writeClientHeaders(HeaderMap from, HeaderMap to);

    /** Writes the time after which a refused client may retry. */
    void writeRetryAfter(HeaderMap to, long millis);

    /** Returns whether a path is that of the readiness probe. */
    boolean isReadinessPath(String path);

    /** Decodes a look-up, returns null if the path differs or a parameter is missing. */
    @Nullable Lookup parseLookup(HttpServerExchange exchange);

    /** Encodes the body of the response to a look-up. */
    byte[] formatLookupAnswer(List<String> addresses, long lifetimeMillis);
}
