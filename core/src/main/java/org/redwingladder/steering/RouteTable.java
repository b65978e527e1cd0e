package org.redwingladder.steering;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Matches requests to routes by host name and longest path prefix. Immutable. */
public final class RouteTable {
    private final Map<String, Map<String, Route>> mByHost = new HashMap<>();

    private RouteTable(SteeringSettings settings) {
        for (Route route : settings.routes()) {
            mByHost.computeIfAbsent(hostName(route.host()), h -> new HashMap<>())
                    .put(route.prefix(), route);
        }
    }

    /** Creates the route table of a settings version. */
    public static RouteTable of(SteeringSettings settings) {
        return new RouteTable(settings);
    }

    /**
     * Returns the route of a request, or null if none matches.
     *
     * @param host the requested host name in any case, with or without a port
     * @param path the path without the query
     */
    public @Nullable Route match(String host, String path) {
        Map<String, Route> prefixes = mByHost.get(hostName(host));
        if (prefixes == null) {
            return null;
        }
        for (int slash = path.lastIndexOf('/');
                slash >= 0;
                slash = path.lastIndexOf('/', slash - 1)) {
            Route route = prefixes.get(path.substring(0, slash + 1));
            if (route != null) {
                return route;
            }
            if (slash == 0) {
                break;
            }
        }
        return null;
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
