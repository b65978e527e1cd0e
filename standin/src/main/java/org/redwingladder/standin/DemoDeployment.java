package org.redwingladder.standin;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Describes a deployment of the demo. Numbers of servers, slots and connections are those of
 * section 1.6 of the design; rates are small enough for one machine.
 *
 * @param name the deployment's name
 * @param regions the zones of each region
 * @param regionMillis the one-way latency between regions in milliseconds
 * @param zoneMillis the one-way latency between the zones of a region in milliseconds
 * @param services the services
 */
record DemoDeployment(
        String name,
        Map<String, List<String>> regions,
        double regionMillis,
        double zoneMillis,
        List<DemoService> services) {
    /** Four hosts in the zones of three names come to 21 in all. */
    private static final int LARGE_ZONES = 3;

    private static final int KILOBYTE = 1024;

    /**
     * Returns the deployment {@code name}.
     *
     * @throws DemoException if there is none
     */
    static DemoDeployment of(String name) throws DemoException {
        return switch (name) {
            case "tabua" ->
                    new DemoDeployment(
                            name,
                            regions(
                                    "viti",
                                    "suva",
                                    "nadi",
                                    "vanua",
                                    "labasa",
                                    "savusavu",
                                    "taveuni",
                                    "somosomo",
                                    "waiyevo"),
                            20,
                            1,
                            List.of(catalogue(), checkout(), proofs()));
            case "guild" ->
                    new DemoDeployment(
                            name,
                            regions(
                                    "gandaki",
                                    "pokhara",
                                    "tansen",
                                    "bagmati",
                                    "lalitpur",
                                    "bhaktapur",
                                    "koshi",
                                    "dhankuta",
                                    "ilam"),
                            35,
                            1.5,
                            List.of(calendar(), booking(), lessons()));
            default -> throw new DemoException("no deployment " + name + "; tabua or guild");
        };
    }

    /** Returns the zones in the order of their names. */
    List<String> zones() {
        return regions.values().stream().flatMap(List::stream).sorted().toList();
    }

    String regionOf(String zone) {
        return regions.entrySet().stream()
                .filter(region -> region.getValue().contains(zone))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }

    /** Returns how many entry hosts a zone has. */
    int hostsIn(String zone) {
        return zones().indexOf(zone) < LARGE_ZONES ? 4 : 3;
    }

    /** Returns the zone of the backend server {@code number} of a service. */
    String zoneOfServer(int number) {
        return zones().get(number % zones().size());
    }

    private static Map<String, List<String>> regions(String... names) {
        Map<String, List<String>> regions = new TreeMap<>();
        for (int i = 0; i < names.length; i += 3) {
            regions.put(names[i], List.of(names[i + 1], names[i + 2]));
        }
        return regions;
    }

    private static DemoService catalogue() {
        return new DemoService(
                "jersey-catalogue",
                "shop",
                20,
                4,
                800,
                "",
                List.of(new BackendConfig.PathClass("/", 30, 0.4, 2 * KILOBYTE)),
                150,
                0,
                List.of(
                        new DemoService.Stream(
                                "designs", "GET", "/designs", 240, false, 2 * KILOBYTE, 3)));
    }

    private static DemoService checkout() {
        return new DemoService(
                "order-checkout",
                "orders",
                12,
                4,
                800,
                "",
                List.of(
                        new BackendConfig.PathClass("/", 25, 0.4, KILOBYTE),
                        new BackendConfig.PathClass("/pay", 50, 0.3, KILOBYTE / 2)),
                0,
                14,
                List.of(
                        new DemoService.Stream("pay", "POST", "/pay", 40, true, KILOBYTE / 2, 2),
                        new DemoService.Stream("orders", "GET", "/open", 60, false, KILOBYTE, 1)));
    }

    private static DemoService proofs() {
        return new DemoService(
                "proof-files",
                "proofs",
                12,
                3,
                800,
                "/proofs/",
                List.of(
                        new BackendConfig.PathClass("/", 20, 0.3, KILOBYTE),
                        new BackendConfig.PathClass("/proofs/", 400, 0.3, 150 * KILOBYTE)),
                0,
                0,
                List.of(
                        new DemoService.Stream(
                                "proofs", "GET", "/proofs/a", 12, false, 150 * KILOBYTE, 2),
                        new DemoService.Stream(
                                "status", "GET", "/status", 40, false, KILOBYTE, 1)));
    }

    private static DemoService calendar() {
        return new DemoService(
                "calendar",
                "archive",
                16,
                9,
                700,
                "",
                List.of(new BackendConfig.PathClass("/", 25, 0.4, 2 * KILOBYTE)),
                150,
                0,
                List.of(
                        new DemoService.Stream(
                                "months", "GET", "/months", 240, false, 2 * KILOBYTE, 3)));
    }

    private static DemoService booking() {
        return new DemoService(
                "booking",
                "courses",
                12,
                8,
                700,
                "",
                List.of(
                        new BackendConfig.PathClass("/", 25, 0.4, KILOBYTE),
                        new BackendConfig.PathClass("/seats", 50, 0.3, KILOBYTE / 2)),
                0,
                14,
                List.of(
                        new DemoService.Stream(
                                "seats", "POST", "/seats", 40, true, KILOBYTE / 2, 2),
                        new DemoService.Stream("mine", "GET", "/mine", 60, false, KILOBYTE, 1)));
    }

    private static DemoService lessons() {
        return new DemoService(
                "lessons",
                "videos",
                12,
                3,
                700,
                "/videos/",
                List.of(
                        new BackendConfig.PathClass("/", 20, 0.3, KILOBYTE),
                        new BackendConfig.PathClass("/videos/", 500, 0.3, 300 * KILOBYTE)),
                0,
                0,
                List.of(
                        new DemoService.Stream(
                                "videos", "GET", "/videos/a", 10, false, 300 * KILOBYTE, 2),
                        new DemoService.Stream("list", "GET", "/list", 40, false, KILOBYTE, 1)));
    }
}
