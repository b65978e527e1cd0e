package org.redwingladder.bench;

import java.util.List;

/**
 * Holds the sizes and delays of one user's deployment.
 *
 * @param name the user's short name
 * @param regions the regions' names
 * @param zones the zones' names, two to a region in the order of the regions
 * @param zoneNanos the one-way delay between zones of a region
 * @param regionNanos the one-way delay between regions
 * @param services the services
 */
record PolicyDeployment(
        String name,
        List<String> regions,
        List<String> zones,
        long zoneNanos,
        long regionNanos,
        List<Service> services) {

    /** One-way delay between a client and its entry host. */
    static final long CLIENT_NANOS = 8_000_000L;

    /** One-way delay inside a zone. */
    static final long LOCAL_NANOS = 200_000L;

    /**
     * Holds the size of a service.
     *
     * @param servers how many backend servers it has
     * @param slots how many slots each of them has
     * @param connections how many connections all of them accept
     * @param idempotent the share of its requests that may run twice
     */
    record Service(String name, int servers, int slots, int connections, double idempotent) {}

    static PolicyDeployment tabua() {
        return new PolicyDeployment(
                "tabua",
                List.of("viti", "vanua", "taveuni"),
                List.of("suva", "nadi", "labasa", "savusavu", "somosomo", "waiyevo"),
                1_000_000L,
                20_000_000L,
                List.of(
                        new Service("jersey-catalogue", 20, 4, 800, 1),
                        new Service("order-checkout", 12, 4, 800, 0.5),
                        new Service("proof-files", 12, 3, 800, 1)));
    }

    static PolicyDeployment guild() {
        return new PolicyDeployment(
                "guild",
                List.of("gandaki", "bagmati", "koshi"),
                List.of("pokhara", "tansen", "lalitpur", "bhaktapur", "dhankuta", "ilam"),
                1_500_000L,
                35_000_000L,
                List.of(
                        new Service("calendar", 16, 9, 700, 1),
                        new Service("booking", 12, 8, 700, 0.5),
                        new Service("lessons", 12, 3, 700, 1)));
    }

    int regionOf(int zone) {
        return zone / 2;
    }

    /** Returns the one-way delay between two zones. */
    long delayNanos(int zone, int other) {
        if (zone == other) {
            return LOCAL_NANOS;
        }
        return regionOf(zone) == regionOf(other) ? zoneNanos : regionNanos;
    }
}
