package org.redwingladder.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Validates the constraints between fields of the deployment subtree. */
final class DeploymentValidator {
    private static final String ROOT = "/" + DeploymentSettings.TEAM;

    private final JsonNode mDeployment;
    private final JsonNode mTeams;
    private final List<SettingsError> mErrors;
    private final Map<String, String> mRegionsByZone;

    private DeploymentValidator(JsonNode document, List<SettingsError> errors) {
        mDeployment = document.path(DeploymentSettings.TEAM);
        mTeams = document.path("teams");
        mErrors = errors;
        mRegionsByZone = regionsByZone(document);
    }

    static void check(JsonNode document, List<SettingsError> errors) {
        DeploymentValidator rules = new DeploymentValidator(document, errors);
        rules.checkRegions();
        rules.checkDistances();
        rules.checkLinks();
        rules.checkBlocks();
        rules.checkTeams();
    }

    /** Returns the region of each zone; the first one for a zone that is in two regions. */
    static Map<String, String> regionsByZone(JsonNode document) {
        Map<String, String> found = new TreeMap<>();
        for (Map.Entry<String, JsonNode> region :
                document.path(DeploymentSettings.TEAM).path("regions").properties()) {
            for (JsonNode zone : region.getValue().path("zones")) {
                if (zone.isTextual()) {
                    found.putIfAbsent(zone.textValue(), region.getKey());
                }
            }
        }
        return found;
    }

    private void checkRegions() {
        JsonNode regions = mDeployment.path("regions");
        Set<String> seen = new HashSet<>();
        for (Map.Entry<String, JsonNode> region : regions.properties()) {
            String path = Schema.childPath(ROOT + "/regions", region.getKey());
            if (region.getKey().equals(Cap.ANY)) {
                error(path, "\"any\" is the reserved name of all zones", "another name");
            }
            JsonNode zones = region.getValue().path("zones");
            for (int i = 0; i < zones.size(); i++) {
                String zone = zones.path(i).asText();
                String at = path + "/zones/" + i;
                if (!seen.add(zone)) {
                    error(
                            at,
                            "zone " + zone + " is listed twice",
                            "each zone in a single region, once");
                }
                if (zone.equals(Cap.ANY) || regions.has(zone)) {
                    error(
                            at,
                            "zone " + zone + " has the name of a region or \"any\"",
                            "a unique name");
                }
            }
        }
    }

    private void checkDistances() {
        Set<String> seen = new HashSet<>();
        for (Map.Entry<String, JsonNode> distance : mDeployment.path("distances").properties()) {
            String path = Schema.childPath(ROOT + "/distances", distance.getKey());
            JsonNode between = distance.getValue().path("between");
            Set<String> pair = new TreeSet<>();
            for (int i = 0; i < between.size(); i++) {
                checkRegion(between.path(i), path + "/between/" + i);
                pair.add(between.path(i).asText());
            }
            if (!pair.isEmpty() && !seen.add(pair.toString())) {
                error(path, "the distance " + pair + " is defined twice", "one for each pair");
            }
        }
    }

    private void checkLinks() {
        Set<String> seen = new HashSet<>();
        for (Map.Entry<String, JsonNode> link : mDeployment.path("links").properties()) {
            String path = Schema.childPath(ROOT + "/links", link.getKey());
            JsonNode from = link.getValue().path("from");
            JsonNode to = link.getValue().path("to");
            checkRegion(from, path + "/from");
            checkRegion(to, path + "/to");
            if (from.isTextual() && from.equals(to)) {
                error(path + "/to", "source and destination are the same region", "another region");
            }
            if (from.isTextual() && to.isTextual() && !seen.add(from + " " + to)) {
                error(
                        path,
                        "the link from " + from + " to " + to + " is defined twice",
                        "one for each direction");
            }
        }
    }

    private record Range(String path, long first, long last) {}

    private void checkBlocks() {
        long count = mDeployment.path("blockCount").asLong();
        List<Range> ranges = new ArrayList<>();
        for (Map.Entry<String, JsonNode> block : mDeployment.path("blocks").properties()) {
            String path = Schema.childPath(ROOT + "/blocks", block.getKey());
            JsonNode value = block.getValue();
            checkRegion(value.path("region"), path + "/region");
            if (!value.path("first").isIntegralNumber() || !value.path("last").isIntegralNumber()) {
                continue;
            }
            Range range =
                    new Range(path, value.path("first").asLong(), value.path("last").asLong());
            if (range.last >= count) {
                error(path + "/last", range.last + " is not a block", "at most " + (count - 1));
            }
            if (range.first > range.last) {
                error(
                        path + "/first",
                        range.first + " is greater than last",
                        "at most " + range.last);
            }
            ranges.add(range);
        }
        ranges.sort(Comparator.comparingLong(Range::first));
        long next = 0;
        for (Range range : ranges) {
            if (range.first != next) {
                error(
                        range.path + "/first",
                        range.first < next
                                ? "the range overlaps another"
                                : "blocks before the range are not in any range",
                        String.valueOf(next));
            }
            next = Math.max(next, range.last + 1);
        }
        if (next < count) {
            error(
                    ROOT + "/blocks",
                    "blocks from " + next + " on are not in any range",
                    "ranges from 0 to " + (count - 1));
        }
    }

    private void checkTeams() {
        JsonNode keys = mDeployment.path("teams");
        if (keys.isObject() && !keys.has(DeploymentSettings.TEAM)) {
            error(
                    ROOT + "/teams/" + DeploymentSettings.TEAM,
                    "missing team",
                    "the team deployment must have a key");
        }
        for (Map.Entry<String, JsonNode> team : mTeams.properties()) {
            String path = Schema.childPath("/teams", team.getKey());
            if (team.getKey().equals(DeploymentSettings.TEAM)) {
                error(path, "the team deployment owns /deployment only", "another team");
            } else if (!keys.has(team.getKey())) {
                error(path, "unknown team", memberNames(keys));
            }
        }
    }

    private void checkRegion(JsonNode name, String path) {
        JsonNode regions = mDeployment.path("regions");
        if (name.isTextual() && !regions.has(name.textValue())) {
            String hint = mRegionsByZone.containsKey(name.textValue()) ? " (it is a zone)" : "";
            error(path, "unknown region " + name + hint, memberNames(regions));
        }
    }

    /** Returns the sorted member names of {@code object}, at most 20, for an error message. */
    static String memberNames(JsonNode object) {
        List<String> names = new ArrayList<>();
        object.fieldNames().forEachRemaining(names::add);
        return joinNames(names);
    }

    /** Joins the first 20 of the sorted {@code names} for an error message. */
    static String joinNames(List<String> names) {
        if (names.isEmpty()) {
            return "none is defined";
        }
        List<String> sorted = names.stream().sorted().limit(20).toList();
        return String.join(", ", sorted) + (names.size() > 20 ? ", ..." : "");
    }

    private void error(String path, String message, String allowed) {
        mErrors.add(new SettingsError(path, message, allowed));
    }
}
