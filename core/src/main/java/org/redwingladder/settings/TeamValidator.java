package org.redwingladder.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Validates the constraints between the teams' services, backend servers and caps. */
final class TeamValidator {
    /**
     * The minimum size of an answer on a link: a status line and the protocol's headers. A request
     * rate above the link's bandwidth divided by it can never be carried.
     */
    static final long MIN_ANSWER_BITS = 8 * 200;

    /** The maximum number of sites, as look-up tables store site numbers as {@code short}. */
    private static final int MAX_SITES = Short.MAX_VALUE;

    private final JsonNode mDocument;
    private final List<SettingsError> mErrors;
    private final Map<String, String> mRegionsByZone;
    private final Map<String, String> mTeamsByService = new TreeMap<>();
    private final Map<String, JsonNode> mServices = new HashMap<>();
    private final Map<String, String> mPaths = new HashMap<>();

    private TeamValidator(JsonNode document, List<SettingsError> errors) {
        mDocument = document;
        mErrors = errors;
        mRegionsByZone = DeploymentValidator.regionsByZone(document);
    }

    static void check(JsonNode document, List<SettingsError> errors) {
        TeamValidator rules = new TeamValidator(document, errors);
        rules.checkServices();
        rules.checkBackendServers();
        rules.checkCaps();
    }

    private interface MemberCheck {
        void check(String team, String path, JsonNode member);
    }

    /** Checks the members of a collection of all teams, whose names must be unique across teams. */
    private void forEachMember(String collection, MemberCheck check) {
        for (Map.Entry<String, JsonNode> team : mDocument.path("teams").properties()) {
            String root = Schema.childPath("/teams", team.getKey()) + "/" + collection;
            for (Map.Entry<String, JsonNode> member :
                    team.getValue().path(collection).properties()) {
                String path = Schema.childPath(root, member.getKey());
                String other = mPaths.putIfAbsent(collection + "/" + member.getKey(), path);
                if (other != null) {
                    error(path, "the name is used at " + other + " as well", "a unique name");
                }
                check.check(team.getKey(), path, member.getValue());
            }
        }
    }

    private void checkServices() {
        int[] sites = {0};
        forEachMember(
                "services",
                (team, path, service) -> {
                    String name = path.substring(path.lastIndexOf('/') + 1);
                    mTeamsByService.putIfAbsent(name, team);
                    mServices.putIfAbsent(name, service);
                    checkSites(path, service);
                    checkClasses(path, service);
                    sites[0] += service.path("zones").size();
                });
        if (sites[0] > MAX_SITES) {
            error("/teams", sites[0] + " sites", "at most " + MAX_SITES + " over all services");
        }
    }

    private void checkSites(String path, JsonNode service) {
        JsonNode zones = service.path("zones");
        if (!zones.isObject()) {
            return;
        }
        boolean hasWeight = false;
        for (Map.Entry<String, JsonNode> zone : zones.properties()) {
            checkZone(zone.getKey(), Schema.childPath(path + "/zones", zone.getKey()));
            hasWeight |= zone.getValue().path("weight").asLong() > 0;
        }
        if (zones.isEmpty()) {
            error(path + "/zones", "the service has no zone", "at least one zone");
        } else if (!hasWeight) {
            error(
                    path + "/zones",
                    "no zone has a positive weight",
                    "a weight above 0 in at least one");
        }
    }

    private void checkClasses(String path, JsonNode service) {
        Set<String> prefixes = new HashSet<>();
        for (Map.Entry<String, JsonNode> rule : service.path("classes").properties()) {
            JsonNode prefix = rule.getValue().path("pathPrefix");
            if (prefix.isTextual() && !prefixes.add(prefix.textValue())) {
                error(
                        Schema.childPath(path + "/classes", rule.getKey()) + "/pathPrefix",
                        "the path prefix " + prefix + " is defined twice",
                        "one class for each prefix");
            }
        }
    }

    private void checkBackendServers() {
        Map<String, String> addresses = new HashMap<>();
        forEachMember(
                "backendServers",
                (team, path, backend) -> {
                    JsonNode service = checkService(team, path, backend.path("service"));
                    JsonNode zone = backend.path("zone");
                    if (zone.isTextual()
                            && checkZone(zone.textValue(), path + "/zone")
                            && service != null
                            && !service.path("zones").has(zone.textValue())) {
                        error(
                                path + "/zone",
                                "the service has no site in zone " + zone.textValue(),
                                DeploymentValidator.memberNames(service.path("zones")));
                    }
                    checkAddress(path + "/address", backend.path("address"), addresses);
                });
    }

    private void checkAddress(String path, JsonNode address, Map<String, String> seen) {
        if (!address.isTextual()) {
            return;
        }
        String other = seen.putIfAbsent(address.textValue(), path);
        if (other != null) {
            error(path, "the address is used at " + other + " as well", "a unique address");
        }
        String[] parts = address.textValue().split("[.:]");
        if (parts.length == 5) {
            for (int i = 0; i < parts.length; i++) {
                int max = i < 4 ? 255 : 65_535;
                if (parts[i].matches("[0-9]{1,5}") && Integer.parseInt(parts[i]) > max) {
                    error(path, parts[i] + " is out of range", "at most " + max);
                }
            }
        }
    }

    private void checkCaps() {
        forEachMember(
                "caps",
                (team, path, cap) -> {
                    JsonNode service = checkService(team, path, cap.path("service"));
                    boolean known =
                            checkScope(cap.path("from"), path + "/from")
                                    & checkScope(cap.path("to"), path + "/to");
                    if (!cap.has("requestsPerSecond") && !cap.has("inFlight")) {
                        error(path, "the cap sets no limit", "requestsPerSecond, inFlight or both");
                    }
                    if (known && service != null) {
                        checkCapSites(path, cap, service);
                        checkCapLink(path, cap);
                    }
                });
    }

    private void checkCapSites(String path, JsonNode cap, JsonNode service) {
        String to = cap.path("to").asText();
        for (Map.Entry<String, JsonNode> zone : service.path("zones").properties()) {
            if (scopeContains(to, zone.getKey())) {
                return;
            }
        }
        error(
                path + "/to",
                "the service has no site in " + to,
                DeploymentValidator.memberNames(service.path("zones")));
    }

    /**
     * Checks a cap between two regions against the bandwidth of the link that carries the answers.
     */
    private void checkCapLink(String path, JsonNode cap) {
        String clientRegion = region(cap.path("from").asText());
        String serverRegion = region(cap.path("to").asText());
        if (clientRegion == null || serverRegion == null || clientRegion.equals(serverRegion)) {
            return;
        }
        for (JsonNode link : mDocument.path(DeploymentSettings.TEAM).path("links")) {
            long max = link.path("bitsPerSecond").asLong() / MIN_ANSWER_BITS;
            if (link.path("from").asText().equals(serverRegion)
                    && link.path("to").asText().equals(clientRegion)
                    && cap.path("requestsPerSecond").asLong() > max) {
                error(
                        path + "/requestsPerSecond",
                        "the link from "
                                + serverRegion
                                + " to "
                                + clientRegion
                                + " cannot carry the answers",
                        "at most " + max);
            }
        }
    }

    private @Nullable JsonNode checkService(String team, String path, JsonNode name) {
        if (!name.isTextual()) {
            return null;
        }
        String owner = mTeamsByService.get(name.textValue());
        if (owner != null && owner.equals(team)) {
            return mServices.get(name.textValue());
        }
        List<String> own = new ArrayList<>();
        mTeamsByService.forEach(
                (service, t) -> {
                    if (t.equals(team)) {
                        own.add(service);
                    }
                });
        String fault = owner == null ? "unknown service " : "another team's service ";
        error(path + "/service", fault + name.textValue(), DeploymentValidator.joinNames(own));
        return null;
    }

    private boolean checkZone(String zone, String path) {
        if (mRegionsByZone.containsKey(zone)) {
            return true;
        }
        error(path, "unknown zone " + zone, joinNames(mRegionsByZone.keySet()));
        return false;
    }

    private boolean checkScope(JsonNode scope, String path) {
        if (!scope.isTextual()) {
            return false;
        }
        String name = scope.textValue();
        if (name.equals(Cap.ANY) || region(name) != null) {
            return true;
        }
        Set<String> allowed = new HashSet<>(mRegionsByZone.keySet());
        allowed.addAll(mRegionsByZone.values());
        allowed.add(Cap.ANY);
        error(path, "unknown zone or region " + name, joinNames(allowed));
        return false;
    }

    private boolean scopeContains(String scope, String zone) {
        return scope.equals(Cap.ANY)
                || scope.equals(zone)
                || scope.equals(mRegionsByZone.get(zone));
    }

    /**
     * Returns the region {@code scope}, or that of the zone {@code scope}; null for {@code any}.
     */
    private @Nullable String region(String scope) {
        return mRegionsByZone.containsValue(scope) ? scope : mRegionsByZone.get(scope);
    }

    private static String joinNames(Set<String> names) {
        return DeploymentValidator.joinNames(new ArrayList<>(names));
    }

    private void error(String path, String message, String allowed) {
        mErrors.add(new SettingsError(path, message, allowed));
    }
}
