package org.redwingladder.steering;

/**
 * Names a service that receives a part of a route's requests.
 *
 * @param service the service
 * @param weight the part, in proportion to the other weights of the route
 */
public record Destination(String service, int weight) {
    public Destination {
        if (weight < 0) {
            throw new IllegalArgumentException("negative weight " + weight);
        }
    }
}
