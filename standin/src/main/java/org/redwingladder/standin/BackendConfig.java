package org.redwingladder.standin;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Configures a backend server stand-in. Members that are absent from JSON take their defaults.
 *
 * @param name the backend server's name, sent in {@code Redwing-Backend}
 * @param ip the address to listen on; default 127.0.0.1
 * @param port the port; 0 lets the kernel choose one
 * @param slots how many requests run at once; default 4
 * @param connections the most open connections; further ones are closed; default 800
 * @param backlog how many requests wait for a slot before more are shed; default: as many as slots
 * @param connectMillis added to the first request of each connection, in milliseconds
 * @param startingMillis how long after the start the state is {@code starting}
 * @param coldMillis how long after the start the service is slower
 * @param coldFactor by what the service time is multiplied right after the start; falls evenly to 1
 *     over {@code coldMillis}
 * @param spells slow spells that come by themselves
 * @param classes service time and answer size by path; the longest matching prefix counts
 * @param seed the seed of all random choices
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

    /** Fills in the defaults. */
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
     * Describes the service of the requests whose path starts with a prefix.
     *
     * @param pathPrefix what the path starts with
     * @param medianMillis the median service time in milliseconds
     * @param sigma the spread: the standard deviation of the service time's natural logarithm
     * @param bodyBytes the size of the answer's body in bytes
     */
    public record PathClass(String pathPrefix, double medianMillis, double sigma, int bodyBytes) {}

    /**
     * Describes slow spells.
     *
     * @param everyMillis the mean time between the starts of two spells; 0 for none
     * @param lastMillis how long a spell lasts
     * @param factor by what the service time is multiplied meanwhile
     */
    public record SlowPeriods(long everyMillis, long lastMillis, double factor) {
        /** Stands for a backend server without slow spells. */
        public static final SlowPeriods NONE = new SlowPeriods(0, 0, 1);
    }

    /** Returns the configuration of a backend server that answers every path in 5 ms. */
    public static BackendConfig of(String name, int slots) {
        return of(name, slots, List.of(DEFAULT_PATH_CLASS));
    }

    /** Returns the configuration of a backend server on a port that the kernel chooses. */
    public static BackendConfig of(String name, int slots, List<PathClass> classes) {
        return new BackendConfig(
                name, null, 0, slots, 0, null, 0, 0, 0, 1, null, classes, name.hashCode());
    }

    /** Returns the class of {@code path}. */
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
