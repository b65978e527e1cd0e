package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * A sample deployment in which all addresses are replaced by ephemeral ports, so that several demos
 * can run concurrently.
 */
final class DemoDeployment {
    private static final double WARM_UP_SHARE = 0.3;

    private final String mName;
    private final ObjectNode mSettings;
    private final List<ObjectNode> mHosts;
    private final List<DemoService> mServices;

    /**
     * A backend server of the deployment.
     *
     * @param name its name
     * @param team the team that owns it
     * @param service its service
     * @param zone its availability zone
     * @param region its region
     * @param slots the number of requests that it processes concurrently
     */
    record Server(
            String name, String team, String service, String zone, String region, int slots) {}

    /**
     * A cap on all requests into a region.
     *
     * @param name its name
     * @param team the team that owns it
     * @param service its service
     * @param region the region
     * @param requestsPerSecond the maximum rate; -1 if there is no limit
     * @param inFlight the maximum number of requests in flight; -1 if there is no limit
     */
    record Cap(
            String name,
            String team,
            String service,
            String region,
            int requestsPerSecond,
            int inFlight) {}

    private DemoDeployment(
            String name, ObjectNode settings, List<ObjectNode> hosts, List<DemoService> services) {
        mName = name;
        mSettings = settings;
        mHosts = hosts;
        mServices = services;
    }

    /**
     * Reads the sample deployment {@code name} below {@code samples}.
     *
     * @throws DemoException if there is no such deployment
     */
    static DemoDeployment read(Path samples, String name) throws IOException, DemoException {
        List<DemoService> services = DemoService.forDeployment(name);
        Path directory = samples.resolve(name);
        ObjectNode settings = readObject(directory.resolve("settings.json"));
        List<ObjectNode> hosts = new ArrayList<>();
        try (Stream<Path> files = Files.list(directory.resolve("hosts"))) {
            for (Path file : files.sorted().toList()) {
                hosts.add(readObject(file));
            }
        }
        return new DemoDeployment(name, settings, hosts, services);
    }

    List<DemoService> services() {
        return mServices;
    }

    /** Returns the key of a team, as stated in the samples' README. */
    String teamKey(String team) {
        return mName + "-" + team + "-key";
    }

    List<String> teams() {
        List<String> teams = new ArrayList<>();
        mSettings.path("teams").fieldNames().forEachRemaining(teams::add);
        return teams;
    }

    int blockCount() {
        return mSettings.path("deployment").path("blockCount").asInt();
    }

    /** Returns the subtree of the team {@code deployment}. */
    JsonNode deploymentTree() {
        return mSettings.path("deployment");
    }

    /** Returns the subtree of a team with the addresses of the running backend servers. */
    JsonNode teamTree(String team, Map<String, String> addresses) {
        ObjectNode tree = mSettings.path("teams").path(team).deepCopy();
        tree.path("backendServers")
                .properties()
                .forEach(
                        server ->
                                ((ObjectNode) server.getValue())
                                        .put("address", addresses.get(server.getKey())));
        return tree;
    }

    List<Server> servers() {
        Map<String, String> regions = regionsByZone();
        List<Server> servers = new ArrayList<>();
        for (String team : teams()) {
            JsonNode all = mSettings.path("teams").path(team).path("backendServers");
            for (Map.Entry<String, JsonNode> each : all.properties()) {
                String zone = each.getValue().path("zone").asText();
                servers.add(
                        new Server(
                                each.getKey(),
                                team,
                                each.getValue().path("service").asText(),
                                zone,
                                regions.getOrDefault(zone, ""),
                                each.getValue().path("slots").asInt()));
            }
        }
        return servers;
    }

    /** Returns the caps on requests from anywhere into a region. */
    List<Cap> regionCaps() {
        List<Cap> caps = new ArrayList<>();
        for (String team : teams()) {
            JsonNode all = mSettings.path("teams").path(team).path("caps");
            for (Map.Entry<String, JsonNode> each : all.properties()) {
                JsonNode cap = each.getValue();
                if (cap.path("from").asText().equals("any")) {
                    caps.add(
                            new Cap(
                                    each.getKey(),
                                    team,
                                    cap.path("service").asText(),
                                    cap.path("to").asText(),
                                    cap.path("requestsPerSecond").asInt(-1),
                                    cap.path("inFlight").asInt(-1)));
                }
            }
        }
        return caps;
    }

    Map<String, String> regionsByZone() {
        Map<String, String> regions = new TreeMap<>();
        for (Map.Entry<String, JsonNode> region :
                mSettings.at("/deployment/regions").properties()) {
            for (JsonNode zone : region.getValue().path("zones")) {
                regions.put(zone.asText(), region.getKey());
            }
        }
        return regions;
    }

    /** Returns the configuration of each entry host, with ephemeral ports. */
    List<ObjectNode> hosts(String platform) {
        List<ObjectNode> hosts = new ArrayList<>();
        for (ObjectNode host : mHosts) {
            ObjectNode copy = host.deepCopy();
            ObjectNode listen = copy.putObject("listen");
            for (String name : List.of("client", "peer", "operator")) {
                listen.put(name, "127.0.0.1:0");
            }
            copy.putArray("platform").add(platform);
            hosts.add(copy);
        }
        return hosts;
    }

    /** Returns the configuration file of the backend server stand-ins in {@code region}. */
    ObjectNode backendConfig(String region) {
        ObjectNode node = Json.MAPPER.createObjectNode();
        ArrayNode servers = node.putArray("servers");
        for (Server server : servers()) {
            if (server.region().equals(region)) {
                ObjectNode each = servers.addObject();
                each.put("name", server.name());
                each.put("slots", server.slots());
                each.put("connectMillis", 1);
                each.put("seed", server.name().hashCode());
                each.set("classes", Json.MAPPER.valueToTree(classesOf(server.service())));
            }
        }
        return node;
    }

    /** Returns the plan of the measured load. */
    ObjectNode loadPlan(DemoSchedule schedule) {
        ObjectNode plan = plan("", 1, schedule.loadMillis());
        for (JsonNode stream : plan.path("streams")) {
            int factor = burstFactor(stream.path("name").asText());
            if (factor > 1) {
                ((ObjectNode) stream)
                        .putArray("bursts")
                        .addObject()
                        .put("atMillis", schedule.burstAt())
                        .put("forMillis", schedule.burstMillis())
                        .put("factor", factor);
            }
        }
        return plan;
    }

    /**
     * Returns the plan of a low-rate load that lets all processes load and compile their classes.
     */
    ObjectNode warmUpPlan(long millis) {
        return plan("warm-up-", WARM_UP_SHARE, millis);
    }

    private ObjectNode plan(String prefix, double share, long millis) {
        ObjectNode node = Json.MAPPER.createObjectNode();
        node.put("seed", 20_261_204L);
        node.put("durationMillis", millis);
        node.put("clients", 120);
        node.put("firstBlock", 0).put("lastBlock", blockCount() - 1);
        ArrayNode streams = node.putArray("streams");
        for (DemoService service : mServices) {
            for (DemoService.Stream stream : service.streams()) {
                ObjectNode each = streams.addObject();
                each.put("name", prefix + stream.name()).put("service", service.name());
                each.put("method", stream.method()).put("path", stream.path());
                each.put("requestsPerSecond", stream.requestsPerSecond() * share);
                each.put("once", stream.once());
                each.put("requestBytes", stream.method().equals("GET") ? 0 : 200);
                each.put("answerBytes", stream.responseBytes());
                each.put("deadlineMillis", 4_000);
            }
        }
        return node;
    }

    private int burstFactor(String stream) {
        return mServices.stream()
                .flatMap(service -> service.streams().stream())
                .filter(each -> each.name().equals(stream))
                .findFirst()
                .orElseThrow()
                .burstFactor();
    }

    private List<BackendConfig.PathClass> classesOf(String service) {
        return mServices.stream()
                .filter(each -> each.name().equals(service))
                .findFirst()
                .orElseThrow()
                .classes();
    }

    private static ObjectNode readObject(Path file) throws IOException, DemoException {
        if (Json.MAPPER.readTree(file.toFile()) instanceof ObjectNode object) {
            return object;
        }
        throw new DemoException(file + " does not contain a JSON object");
    }
}
