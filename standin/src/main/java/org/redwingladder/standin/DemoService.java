package org.redwingladder.standin;

import java.util.List;

/**
 * Describes how the backend servers of a service behave in the demo, and the service's load. Rates
 * are small enough for one machine.
 *
 * @param name the service's name
 * @param classes service times and answer sizes
 * @param streams the load
 */
record DemoService(
        String name, List<BackendConfig.PathClass> classes, List<DemoService.Stream> streams) {
    private static final int KILOBYTE = 1024;

    /**
     * Describes requests of one kind.
     *
     * @param name the stream's name
     * @param method the HTTP method
     * @param path the path
     * @param requestsPerSecond the mean rate
     * @param once whether the work must run at most once
     * @param answerBytes the size of the answer in bytes
     * @param burstFactor by what the rate is multiplied during the burst
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
    static List<DemoService> of(String name) throws DemoException {
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
            default -> throw new DemoException("no deployment " + name + "; tabua or guild");
        };
    }

    /** Describes short reads that come in bursts. */
    private static DemoService reads(String name, String path, int medianMillis, int rate) {
        return new DemoService(
                name,
                List.of(new BackendConfig.PathClass("/", medianMillis, 0.4, 2 * KILOBYTE)),
                List.of(new Stream(name, "GET", path, rate, false, 2 * KILOBYTE, 3)));
    }

    /** Describes work that must run at most once, and reads beside it. */
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

    /** Describes a few long downloads beside short reads. */
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
