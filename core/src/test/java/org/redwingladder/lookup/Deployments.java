package org.redwingladder.lookup;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.redwingladder.api.EntryHost;
import org.redwingladder.settings.BlockRange;
import org.redwingladder.settings.DeploymentSettings;
import org.redwingladder.settings.Distance;
import org.redwingladder.settings.Region;
import org.redwingladder.settings.Service;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.SiteWeight;
import org.redwingladder.settings.TeamSettings;

/** Settings and hosts for look-up tests: three regions of two zones each. */
final class Deployments {
    static final String SERVICE = "checkout";
    static final List<String> ZONES = List.of("a1", "a2", "b1", "b2", "c1", "c2");

    private Deployments() {}

    /** Returns settings with one service, with the given weights of its sites by zone. */
    static Settings settings(int blocks, Map<String, Integer> weights) {
        Map<String, Region> regions = new TreeMap<>();
        for (String region : List.of("a", "b", "c")) {
            regions.put(region, new Region(List.of(region + "1", region + "2")));
        }
        Map<String, Distance> distances =
                Map.of(
                        "ab", new Distance(List.of("a", "b"), 20),
                        "ac", new Distance(List.of("a", "c"), 30),
                        "bc", new Distance(List.of("b", "c"), 10));
        Map<String, BlockRange> ranges =
                Map.of(
                        "r0", new BlockRange(0, blocks / 3 - 1, "a"),
                        "r1", new BlockRange(blocks / 3, 2 * blocks / 3 - 1, "b"),
                        "r2", new BlockRange(2 * blocks / 3, blocks - 1, "c"));
        TreeMap<String, SiteWeight> zones = new TreeMap<>();
        weights.forEach((zone, weight) -> zones.put(zone, new SiteWeight(weight)));
        Service service = new Service(1000, 1000, 66, new TreeMap<>(), zones);
        TeamSettings team =
                new TeamSettings(
                        new TreeMap<>(Map.of(SERVICE, service)), new TreeMap<>(), new TreeMap<>());
        return Settings.of(
                new DeploymentSettings(
                        blocks,
                        5000,
                        new TreeMap<>(regions),
                        new TreeMap<>(distances),
                        new TreeMap<>(),
                        new TreeMap<>(ranges),
                        new TreeMap<>()),
                Map.of("store", team));
    }

    static Map<String, Integer> weights(int... weights) {
        Map<String, Integer> byZone = new TreeMap<>();
        for (int i = 0; i < weights.length; i++) {
            if (weights[i] >= 0) {
                byZone.put(ZONES.get(i), weights[i]);
            }
        }
        return byZone;
    }

    static Map<String, List<EntryHost>> hosts(int hostsPerZone, List<String> zones) {
        Map<String, List<EntryHost>> hosts = new HashMap<>();
        for (String zone : zones) {
            List<EntryHost> list = new ArrayList<>();
            for (int i = 0; i < hostsPerZone; i++) {
                list.add(new EntryHost(zone + "-h" + i, zone, "127.0.0.1:" + (4000 + i)));
            }
            hosts.put(zone, list);
        }
        return hosts;
    }
}
