package org.redwingladder.steering;

/**
 * A service that receives a weighted share of a route's requests.
 *
 * @param service the name of the service
 * @param weight the share, relative to the other weights of the route
 */
public record WeightedService(String service, int weight) {
    public WeightedService {
        if (weight < 0) {
            throw new IllegalArgumentException("negative service weight: " + weight);
        }
    }
}
