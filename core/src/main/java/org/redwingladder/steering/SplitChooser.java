package org.redwingladder.steering;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Distributes the requests of a route over its services by weight.
 *
 * <p>Smooth weighted round robin keeps each service within one request of its part at any time,
 * where independent random draws would stray by the square root of the requests. A service without
 * room keeps its part: what does not fit there is refused. Not thread-safe.
 */
public final class SplitChooser {
    private final Map<String, double[]> mCredits = new HashMap<>();

    /** Returns the service of the next request of a route. */
    public String next(Route route) {
        List<Destination> parts = route.destinations();
        if (parts.size() == 1) {
            return parts.get(0).service();
        }
        double[] credits = mCredits.get(route.name());
        if (credits == null || credits.length != parts.size()) {
            credits = new double[parts.size()];
            mCredits.put(route.name(), credits);
        }
        double total = 0;
        int best = 0;
        for (int i = 0; i < credits.length; i++) {
            credits[i] += parts.get(i).weight();
            total += parts.get(i).weight();
            if (credits[i] > credits[best]) {
                best = i;
            }
        }
        credits[best] -= total;
        return parts.get(best).service();
    }
}
