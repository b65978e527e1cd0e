package org.redwingladder.standin;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Configuration of a backend server stand-in. Members that are absent from JSON take their
 * defaults.
 *
 * @param name the backend server's name, sent in {@code Redwing-Backend}
 * @param ip the address to listen on; default 127.0.0.1
 * @param port the port; 0 selects an ephemeral port
 * @param slots how many requests are processed concurrently; default 4
 * @param connections the maximum number of open connections; further ones are closed; default 800
 * @param backlog the maximum number of queued requests; further ones are shed; default: the number
 *     of slots
 * @param connectMillis latency added to the first request of each connection, in milliseconds
 * @param startingMillis how long after the start the reported state is {@code starting}, in
 *     milliseconds
 * @param coldMillis length of the cold start, in milliseconds; service times are longer meanwhile
 * @param coldFactor factor of the service time right after the start; decreases linearly to 1 over
 *     {@code coldMillis}
 * @param spells random slow periods
 * @param classes service time and response size by path; the longest matching prefix applies
 * @param seed the seed of the random number generator
 */
public record BackendConfig(
        String name,
        @Nullable String ip,
        int port,
        int slots,
        int connections,
        @Nullable Integer backlog,
        long connectMillis,
        long startingMillis,
        long coldMillis,
        double coldFactor,
        @Nullable SlowPeriods spells,
        @Nullable List<PathClass> classes,
        long seed) {
    private static final PathClass DEFAULT_PATH_CLASS = new PathClass("/", 5, 0, 256);

    /** Replaces absent values by their defaults. */
    public BackendConfig {
        requireNonNull(name, "name");
        ip = ip == null ? "127.0.0.1" : ip;
        slots = slots == 0 ? 4 : slots;
        connections = connections == 0 ? 800 : connections;
        backlog = backlog == null ? Integer.valueOf(slots) : backlog;
        coldFactor = coldFactor == 0 ? 1 : coldFactor;
        spells = spells == null ? SlowPeriods.NONE : spells;
        classes = classes == null ? List.of(DEFAULT_PATH_CLASS) : List.copyOf(classes);
    }

    /**
     * Service time distribution and response size of requests whose path starts with a prefix.
     *
     * @param pathPrefix the prefix of the path
     * @param medianMillis the median service time in milliseconds
     * @param sigma the standard deviation of the natural logarithm of the service time (log-normal
     *     distribution)
     * @param bodyBytes the size of the response body in bytes
     */
    public record PathClass(String pathPrefix, double medianMillis, double sigma, int bodyBytes) {}

    /**
     * Random periods in which the server is slow; their gaps are exponentially distributed.
     *
     * @param everyMillis the mean gap between the end of a period and the start of the next, in
     *     milliseconds; 0 disables them
     * @param lastMillis the length of a period, in milliseconds
     * @param factor factor of the service time during a period
     */
    public record SlowPeriods(long everyMillis, long lastMillis, double factor) {
        /** No slow periods. */
        public static final SlowPeriods NONE = new SlowPeriods(0, 0, 1);
    }

    /** Returns the configuration of a backend server that responds to every path in 5 ms. */
    public static BackendConfig of(String name, int slots) {
        return of(name, slots, List.of(DEFAULT_PATH_CLASS));
    }

    /** Returns the configuration of a backend server on an ephemeral port. */
    public static BackendConfig of(String name, int slots, List<PathClass> classes) {
        return new BackendConfig(
                name, null, 0, slots, 0, null, 0, 0, 0, 1, null, classes, name.hashCode());
    }

    /** Returns the class with the longest prefix of {@code path}. */
    PathClass classOf(String path) {
        PathClass best = DEFAULT_PATH_CLASS;
        int length = -1;
        for (PathClass each : requireNonNull(classes)) {
            if (path.startsWith(each.pathPrefix()) && each.pathPrefix().length() > length) {
                best = each;
                length = each.pathPrefix().length();
            }
        }
        return best;
    }
}
