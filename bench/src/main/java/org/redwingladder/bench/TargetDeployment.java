package org.redwingladder.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.redwingladder.api.EntryHost;
import org.redwingladder.settings.SettingsTree;

/** Makes the settings of a deployment of 24 regions with 78 availability zones. */
final class TargetDeployment {
    static final int REGIONS = 24;
    static final int ZONES = 78;
    private static final int BACKENDS_IN_SITE = 6;
    private static final String KEY = "0".repeat(64);

    private final int mBlocks;
    private final int mSites;
    private final List<List<String>> mZones = new ArrayList<>();

    /** Creates a deployment with a number of client blocks and sites. */
    TargetDeployment(int blocks, int sites) {
        mBlocks = blocks;
        mSites = sites;
        int zone = 0;
        for (int region = 0; region < REGIONS; region++) {
            List<String> zones = new ArrayList<>();
            int count = ZONES / REGIONS + (region < ZONES % REGIONS ? 1 : 0);
            for (int i = 0; i < count; i++) {
                zones.add("zone-" + zone++);
            }
            mZones.add(zones);
        }
    }

    static String service(int number) {
        return "service-" + number;
    }

    int services() {
        return (mSites + ZONES - 1) / ZONES;
    }

    static String team(int service) {
        return "team-" + service;
    }

    /** Returns the settings as a tree of version 1 with one team for each service. */
    SettingsTree tree() {
        Map<String, JsonNode> subtrees = new HashMap<>();
        Map<String, Long> versions = new HashMap<>();
        subtrees.put("deployment", deployment());
        for (int service = 0; service < services(); service++) {
            subtrees.put(team(service), subtree(service));
        }
        subtrees.keySet().forEach(team -> versions.put(team, 1L));
        return SettingsTree.of(1, subtrees, versions);
    }

    private ObjectNode deployment() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("blockCount", mBlocks).put("lookupLifetimeMillis", 5000);
        for (int i = 0; i < REGIONS; i++) {
            String region = "region-" + i;
            mZones.get(i)
                    .forEach(
                            node.withObjectProperty("regions")
                                            .withObjectProperty(region)
                                            .withArrayProperty("zones")
                                    ::add);
            node.withObjectProperty("blocks")
                    .putObject("blocks-" + i)
                    .put("first", (int) ((long) mBlocks * i / REGIONS))
                    .put("last", (int) ((long) mBlocks * (i + 1) / REGIONS - 1))
                    .put("region", region);
            for (int other = i + 1; other < REGIONS; other++) {
                ObjectNode distance =
                        node.withObjectProperty("distances").putObject("d-" + i + "-" + other);
                distance.putArray("between").add(region).add("region-" + other);
                distance.put("oneWayMillis", 10 + (i * 37 + other * 17) % 90);
            }
        }
        ObjectNode teams = node.putObject("teams");
        teams.putObject("deployment").put("keySha256", KEY);
        for (int service = 0; service < services(); service++) {
            teams.putObject(team(service)).put("keySha256", KEY);
        }
        return node;
    }

    private ObjectNode subtree(int number) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        List<String> zones = flat();
        String service = service(number);
        int end = Math.min(mSites, (number + 1) * ZONES);
        for (int site = number * ZONES; site < end; site++) {
            String zone = zones.get(site % ZONES);
            ObjectNode entry = node.withObjectProperty("services").withObjectProperty(service);
            entry.put("maxRequestMillis", 10_000)
                    .put("rampMillis", 10_000)
                    .put("longSlotsPercent", 66);
            entry.withObjectProperty("zones").putObject(zone).put("weight", 18 + site % 3 * 6);
            for (int i = 0; i < BACKENDS_IN_SITE; i++) {
                node.withObjectProperty("backendServers")
                        .putObject("b-" + site + "-" + i)
                        .put("service", service)
                        .put("zone", zone)
                        .put("address", "10." + site / 250 + "." + site % 250 + "." + i + ":4000")
                        .put("slots", 4)
                        .put("connections", 800)
                        .put("state", "serving");
            }
            node.withObjectProperty("caps")
                    .putObject("cap-" + site)
                    .put("service", service)
                    .put("from", "any")
                    .put("to", zone)
                    .put("requestsPerSecond", 400)
                    .put("inFlight", 24);
        }
        return node;
    }

    /** Returns entry hosts for each zone. */
    Map<String, List<EntryHost>> hosts(int inEachZone) {
        Map<String, List<EntryHost>> hosts = new HashMap<>();
        for (String zone : flat()) {
            List<EntryHost> list = new ArrayList<>();
            for (int i = 0; i < inEachZone; i++) {
                list.add(new EntryHost(zone + "-host-" + i, zone, "10.200.0." + i + ":7400"));
            }
            hosts.put(zone, list);
        }
        return hosts;
    }

    private List<String> flat() {
        return mZones.stream().flatMap(List::stream).toList();
    }
}
