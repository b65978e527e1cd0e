package org.redwingladder.standin;

import java.util.List;

/**
 * The behaviour of a service's backend servers in the demo, and the load on the service. The rates
 * are low enough for one machine.
 *
 * @param name the service's name
 * @param classes service times and response sizes
 * @param streams the request streams that make up the load
 */
record DemoService(
        String name, List<BackendConfig.PathClass> classes, List<DemoService.Stream> streams) {
    private static final int KILOBYTE = 1024;

    /**
     * A stream of similar requests.
     *
     * @param name the stream's name
     * @param method the HTTP method
     * @param path the path
     * @param requestsPerSecond the mean rate
     * @param once whether a request must be executed at most once
     * @param responseBytes the size of the response in bytes
     * @param burstFactor factor of the rate during the burst
     */
    record Stream(
            String name,
            String method,
            String path,
            int requestsPerSecond,
            boolean once,
            int responseBytes,
            int burstFactor) {}

    /**
     * Returns the services of the deployment {@code name}.
     *
     * @throws DemoException if there is no such deployment
     */
    static List<DemoService> forDeployment(String name) throws DemoException {
        return switch (name) {
            case "tabua" ->
                    List.of(
                            reads("jersey-catalogue", "/designs/list", 30, 240),
                            orders("order-checkout", "pay", "/orders/pay", "/orders/open"),
                            files("proof-files", "/proofs/a", "/previews/a", 400, 150));
            case "guild" ->
                    List.of(
                            reads("calendar", "/days/today", 25, 240),
                            orders("booking", "seats", "/places/seat", "/places/mine"),
                            files("lessons", "/videos/a", "/index/all", 500, 300));
            default -> throw new DemoException("no deployment " + name + "; allowed: tabua, guild");
        };
    }

    /** Returns a service with short reads whose rate rises in the burst. */
    private static DemoService reads(String name, String path, int medianMillis, int rate) {
        return new DemoService(
                name,
                List.of(new BackendConfig.PathClass("/", medianMillis, 0.4, 2 * KILOBYTE)),
                List.of(new Stream(name, "GET", path, rate, false, 2 * KILOBYTE, 3)));
    }

    /** Returns a service with at-most-once writes and concurrent reads. */
    private static DemoService orders(String name, String stream, String path, String readPath) {
        return new DemoService(
                name,
                List.of(
                        new BackendConfig.PathClass("/", 25, 0.4, KILOBYTE),
                        new BackendConfig.PathClass(path, 50, 0.3, KILOBYTE / 2)),
                List.of(
                        new Stream(stream, "POST", path, 40, true, KILOBYTE / 2, 2),
                        new Stream(stream + "-read", "GET", readPath, 60, false, KILOBYTE, 1)));
    }

    /** Returns a service with few long downloads and concurrent short reads. */
    private static DemoService files(
            String name, String longPath, String shortPath, int longMillis, int kilobytes) {
        return new DemoService(
                name,
                List.of(
                        new BackendConfig.PathClass("/", 20, 0.3, KILOBYTE),
                        new BackendConfig.PathClass(
                                longPath, longMillis, 0.3, kilobytes * KILOBYTE)),
                List.of(
                        new Stream(
                                name + "-long",
                                "GET",
                                longPath,
                                10,
                                false,
                                kilobytes * KILOBYTE,
                                2),
                        new Stream(name + "-short", "GET", shortPath, 40, false, KILOBYTE, 1)));
    }
}
