package org.redwingladder.steering;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Distributes the requests of a route over its services by smooth weighted round robin.
 *
 * <p>The count of each service stays within one request of its share at any time, whereas random
 * selection would deviate by the square root of the number of requests. The share of an overloaded
 * service does not move to other services; its excess requests are refused. Not thread-safe.
 */
public final class WeightedRoundRobin {
    private final Map<String, double[]> mCredits = new HashMap<>();

    /** Returns the service for the next request of a route. */
    public String next(Route route) {
        List<WeightedService> services = route.destinations();
        if (services.size() == 1) {
            return services.get(0).service();
        }
        double[] credits = mCredits.get(route.name());
        if (credits == null || credits.length != services.size()) {
            credits = new double[services.size()];
            mCredits.put(route.name(), credits);
        }
        double total = 0;
        int best = 0;
        for (int i = 0; i < credits.length; i++) {
            credits[i] += services.get(i).weight();
            total += services.get(i).weight();
            if (credits[i] > credits[best]) {
                best = i;
            }
        }
        credits[best] -= total;
        return services.get(best).service();
    }
}
