package org.redwingladder.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.redwingladder.steering.LoadSample;

/** Translates what clients and backend servers say. */
public interface WireFormat {

    /**
     * Holds what a client says of its request.
     *
     * @param requestId the id that ties the answer to the request, null if there is none
     * @param objectKey names the object that the request concerns, null if unknown
     * @param waitMillis how long the client waits, -1 if it does not say
     */
    record ClientHeaders(@Nullable String requestId, @Nullable String objectKey, long waitMillis) {}

    /**
     * Holds what a backend server says with its answer.
     *
     * @param notRun whether the request certainly did not run
     * @param wrongServer whether another server listens at the address
     * @param genuine whether the server worked on the request
     * @param load the server's load, null if it does not say
     */
    record ServerHeaders(
            boolean notRun, boolean wrongServer, boolean genuine, @Nullable LoadSample load) {}

    /**
     * Holds a question for entry hosts.
     *
     * @param region the client's region
     * @param zone the client's availability zone
     */
    record Lookup(String region, String zone) {}

    /** Returns what a client says of its request. */
    ClientHeaders client(HeaderMap headers);

    /** Returns what a backend server says with an answer. */
    ServerHeaders server(int status, HeaderMap headers);

    /** Returns the header that ties answers to requests. */
    HttpString requestIdHeader();

    /**
     * Sets the headers for a backend server.
     *
     * @param from the client's headers
     * @param to the headers to fill
     * @param serverId the only server that may run the request
     * @param leftMillis how long the answer is waited for
     */
    void toServer(HeaderMap from, HeaderMap to, String serverId, long leftMillis);

    /** Copies the headers of a backend server's answer that concern the client. */
    void toClient(HeaderMap from, HeaderMap to);

    /** Sets when a client that was refused may come back. */
    void retryAfter(HeaderMap to, long millis);

    /** Returns whether the path asks for the host's readiness. */
    boolean readiness(String path);

    /** Returns the look-up that an exchange asks for, null if it is none. */
    @Nullable Lookup lookup(HttpServerExchange exchange);

    /** Returns the body of the answer to a look-up. */
    byte[] lookupAnswer(List<String> addresses, long lifetimeMillis);
}
