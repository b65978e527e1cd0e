package org.redwingladder.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.redwingladder.steering.Backend;

/** Gauges of each backend server that has named a rate limit, for as long as it does. */
final class RateLimitMetrics {
    private final EntryMetrics mMetrics;
    private final Map<String, Backend> mRegistered = new HashMap<>();

    RateLimitMetrics(EntryMetrics metrics) {
        mMetrics = metrics;
    }

    /** Replaces the servers that have named a rate limit. */
    void update(List<Backend> limited) {
        Set<String> ended = new HashSet<>(mRegistered.keySet());
        for (Backend backend : limited) {
            String id = backend.registration().id();
            ended.remove(id);
            if (mRegistered.get(id) != backend) {
                remove(id);
                mRegistered.put(id, backend);
                mMetrics.gauge(limitName(id), backend::limitPerSecond);
                mMetrics.gauge(deniedName(id), backend::permitsDenied);
            }
        }
        ended.forEach(this::remove);
    }

    private void remove(String id) {
        if (mRegistered.remove(id) != null) {
            mMetrics.remove(limitName(id));
            mMetrics.remove(deniedName(id));
        }
    }

    private static String limitName(String id) {
        return "server.limit." + id;
    }

    private static String deniedName(String id) {
        return "server.limit-permits-denied." + id;
    }
}
