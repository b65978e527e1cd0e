package org.redwingladder.tool;

import java.util.List;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Describes a load. Members that are absent from JSON take their defaults.
 *
 * @param seed the seed of all random choices
 * @param durationMillis how long requests arrive, in milliseconds
 * @param clients how many clients there are, each with a block and look-up answers of its own;
 *     default 100
 * @param firstBlock the first client block
 * @param lastBlock the last client block
 * @param maxAttempts the most attempts for one request; default 4
 * @param streams what arrives
 */
record LoadPlan(
        long seed,
        long durationMillis,
        int clients,
        int firstBlock,
        int lastBlock,
        int maxAttempts,
        List<Stream> streams) {

    /**
     * Describes the requests of one kind.
     *
     * @param name names the kind in the report; default: the service
     * @param service the service
     * @param method the HTTP method; default GET
     * @param path the path below the service
     * @param requestsPerSecond the mean rate of arrivals
     * @param once whether the work is to run at most once; it then carries a token
     * @param requestBytes the size of the request body
     * @param answerBytes the size of the answer's body, which is asked for by the query {@code
     *     bytes=N} and checked; absent: not checked
     * @param deadlineMillis how long the client waits, in milliseconds; default 5000
     * @param bursts when the rate is higher
     */
    record Stream(
            @Nullable String name,
            String service,
            @Nullable String method,
            String path,
            double requestsPerSecond,
            boolean once,
            int requestBytes,
            @Nullable Integer answerBytes,
            long deadlineMillis,
            @Nullable List<Burst> bursts) {
        Stream {
            name = name == null ? service : name;
            method = method == null ? "GET" : method;
            deadlineMillis = deadlineMillis == 0 ? 5_000 : deadlineMillis;
            bursts = bursts == null ? List.of() : List.copyOf(bursts);
        }

        /** Returns the path with the query that asks for the answer's size. */
        String pathWithQuery() {
            if (answerBytes == null) {
                return path;
            }
            return path + (path.indexOf('?') < 0 ? '?' : '&') + "bytes=" + answerBytes;
        }

        /** Returns the rate of arrivals at {@code millis} after the start, per second. */
        double rateAt(double millis) {
            double rate = requestsPerSecond;
            for (Burst burst : java.util.Objects.requireNonNull(bursts)) {
                if (millis >= burst.atMillis() && millis < burst.atMillis() + burst.forMillis()) {
                    rate = Math.max(rate, requestsPerSecond * burst.factor());
                }
            }
            return rate;
        }

        /** Returns a rate that is never exceeded, per second. */
        double highestRate() {
            double factor = 1;
            for (Burst burst : java.util.Objects.requireNonNull(bursts)) {
                factor = Math.max(factor, burst.factor());
            }
            return requestsPerSecond * factor;
        }
    }

    /**
     * Describes a time of higher rate.
     *
     * @param atMillis when it begins, in milliseconds after the start
     * @param forMillis how long it lasts, in milliseconds
     * @param factor by what the rate is multiplied
     */
    record Burst(long atMillis, long forMillis, double factor) {}

    LoadPlan {
        clients = clients == 0 ? 100 : clients;
        maxAttempts = maxAttempts == 0 ? 4 : maxAttempts;
        if (streams == null || streams.isEmpty()) {
            throw new IllegalArgumentException("streams: at least one is required");
        }
        if (durationMillis <= 0) {
            throw new IllegalArgumentException("durationMillis: must be above 0");
        }
        if (firstBlock < 0 || lastBlock < firstBlock) {
            throw new IllegalArgumentException("lastBlock: must be firstBlock or above");
        }
        streams = List.copyOf(streams);
    }

    /** Returns the names of the services in their order. */
    TreeSet<String> services() {
        TreeSet<String> services = new TreeSet<>();
        streams.forEach(stream -> services.add(stream.service()));
        return services;
    }
}
