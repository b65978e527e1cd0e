package org.redwingladder.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Writes the documents of a demo: settings, host files, stand-in files and the load plan. */
final class DemoDocuments {
    static final int BLOCKS = 21_000;
    static final long LOOKUP_LIFETIME_MILLIS = 3_000;

    /** The deployment's key for tokens; it protects nothing but this demo. */
    private static final String TOKEN_KEY = "token-key-of-the-demo";

    private static final long LINK_BITS_PER_SECOND = 4_000_000_000L;

    private final DemoDeployment mDeployment;

    DemoDocuments(DemoDeployment deployment) {
        mDeployment = deployment;
    }

    /** Returns the key of a team; it protects nothing but this demo. */
    static String teamKey(String team) {
        return "demo-key-of-" + team;
    }

    static String serverName(DemoService service, int number) {
        return service.name() + "-" + (number + 1);
    }

    Set<String> teams() {
        Set<String> teams = new TreeSet<>();
        mDeployment.services().forEach(service -> teams.add(service.team()));
        return teams;
    }

    /** Returns the subtree {@code /deployment}. */
    ObjectNode deployment() {
        ObjectNode node = Json.MAPPER.createObjectNode();
        node.put("blockCount", BLOCKS);
        node.put("lookupLifetimeMillis", LOOKUP_LIFETIME_MILLIS);
        ObjectNode regions = node.putObject("regions");
        mDeployment
                .regions()
                .forEach(
                        (name, zones) -> {
                            ArrayNode list = regions.putObject(name).putArray("zones");
                            zones.forEach(list::add);
                        });
        addDistances(node);
        ObjectNode blocks = node.putObject("blocks");
        int share = BLOCKS / mDeployment.regions().size();
        int first = 0;
        for (String region : mDeployment.regions().keySet()) {
            ObjectNode range = blocks.putObject("near-" + region);
            range.put("first", first).put("last", first + share - 1).put("region", region);
            first += share;
        }
        ObjectNode teams = node.putObject("teams");
        teams.putObject("deployment").put("keySha256", sha256(teamKey("deployment")));
        teams().forEach(team -> teams.putObject(team).put("keySha256", sha256(teamKey(team))));
        return node;
    }

    private void addDistances(ObjectNode node) {
        ObjectNode distances = node.putObject("distances");
        ObjectNode links = node.putObject("links");
        List<String> names = new ArrayList<>(mDeployment.regions().keySet());
        for (String from : names) {
            distances
                    .putObject(from)
                    .put("oneWayMillis", mDeployment.zoneMillis())
                    .putArray("between")
                    .add(from)
                    .add(from);
            for (String to : names) {
                if (from.compareTo(to) < 0) {
                    distances
                            .putObject(from + "-" + to)
                            .put("oneWayMillis", mDeployment.regionMillis())
                            .putArray("between")
                            .add(from)
                            .add(to);
                }
                if (!from.equals(to)) {
                    links.putObject(from + "-" + to)
                            .put("from", from)
                            .put("to", to)
                            .put("bitsPerSecond", LINK_BITS_PER_SECOND);
                }
            }
        }
    }

    /**
     * Returns the subtree of a team.
     *
     * @param addresses the address of each backend server, by name
     */
    ObjectNode team(String team, Map<String, String> addresses) {
        ObjectNode node = Json.MAPPER.createObjectNode();
        ObjectNode services = node.putObject("services");
        ObjectNode servers = node.putObject("backendServers");
        ObjectNode caps = node.putObject("caps");
        for (DemoService service : mDeployment.services()) {
            if (!service.team().equals(team)) {
                continue;
            }
            addService(services.putObject(service.name()), service);
            for (int i = 0; i < service.servers(); i++) {
                String name = serverName(service, i);
                servers.putObject(name)
                        .put("service", service.name())
                        .put("zone", mDeployment.zoneOfServer(i))
                        .put("address", addresses.get(name))
                        .put("slots", service.slots())
                        .put("connections", service.connections())
                        .put("state", "serving");
            }
            for (String region : mDeployment.regions().keySet()) {
                addCap(caps, service, region);
            }
        }
        return node;
    }

    private void addService(ObjectNode node, DemoService service) {
        node.put("maxRequestMillis", 10_000);
        node.put("rampMillis", 2_000);
        node.put("longSlotsPercent", 66);
        ObjectNode classes = node.putObject("classes");
        if (!service.longPrefix().isEmpty()) {
            classes.putObject("long").put("pathPrefix", service.longPrefix()).put("class", "long");
        }
        ObjectNode zones = node.putObject("zones");
        mDeployment.zones().forEach(zone -> zones.putObject(zone).put("weight", 100));
    }

    private static void addCap(ObjectNode caps, DemoService service, String region) {
        if (service.regionRate() == 0 && service.regionInFlight() == 0) {
            return;
        }
        ObjectNode cap = caps.putObject(capName(service, region));
        cap.put("service", service.name()).put("from", "any").put("to", region);
        if (service.regionRate() > 0) {
            cap.put("requestsPerSecond", service.regionRate());
        }
        if (service.regionInFlight() > 0) {
            cap.put("inFlight", service.regionInFlight());
        }
    }

    static String capName(DemoService service, String region) {
        return service.name() + "-" + region;
    }

    /** Returns the file of the backend server stand-ins of one region. */
    ObjectNode backendServers(String region) {
        ObjectNode node = Json.MAPPER.createObjectNode();
        ArrayNode servers = node.putArray("servers");
        for (DemoService service : mDeployment.services()) {
            for (int i = 0; i < service.servers(); i++) {
                if (!mDeployment.regionOf(mDeployment.zoneOfServer(i)).equals(region)) {
                    continue;
                }
                ObjectNode server = servers.addObject();
                server.put("name", serverName(service, i));
                server.put("slots", service.slots());
                server.put("connections", service.connections());
                server.put("connectMillis", 1);
                server.put("seed", serverName(service, i).hashCode());
                server.set("classes", Json.MAPPER.valueToTree(service.classes()));
            }
        }
        return node;
    }

    /** Returns the file of an entry host. */
    ObjectNode entryHost(String host, String zone, String platform) {
        ObjectNode node = Json.MAPPER.createObjectNode();
        node.put("host", host).put("zone", zone).put("tokenKey", TOKEN_KEY);
        node.putObject("listen")
                .put("client", "127.0.0.1:0")
                .put("peer", "127.0.0.1:0")
                .put("operator", "127.0.0.1:0");
        node.putArray("platform").add(platform);
        return node;
    }

    /** Returns the plan of the load. */
    ObjectNode load(DemoTimes times) {
        ObjectNode node = Json.MAPPER.createObjectNode();
        node.put("seed", 20_261_204L);
        node.put("durationMillis", times.loadMillis());
        node.put("clients", 120);
        node.put("firstBlock", 0).put("lastBlock", BLOCKS - 1);
        ArrayNode streams = node.putArray("streams");
        for (DemoService service : mDeployment.services()) {
            for (DemoService.Stream stream : service.streams()) {
                ObjectNode each = streams.addObject();
                each.put("name", stream.name()).put("service", service.name());
                each.put("method", stream.method()).put("path", stream.path());
                each.put("requestsPerSecond", stream.requestsPerSecond());
                each.put("once", stream.once());
                each.put("requestBytes", stream.method().equals("GET") ? 0 : 200);
                each.put("answerBytes", stream.answerBytes());
                each.put("deadlineMillis", 4_000);
                if (stream.burstFactor() > 1) {
                    each.putArray("bursts")
                            .addObject()
                            .put("atMillis", times.burstAt())
                            .put("forMillis", times.burstMillis())
                            .put("factor", stream.burstFactor());
                }
            }
        }
        return node;
    }

    private static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
