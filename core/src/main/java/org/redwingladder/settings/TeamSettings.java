package org.redwingladder.settings;

import java.util.SortedMap;

/**
 * The settings subtree of one team.
 *
 * @param services the team's services, by name
 * @param backendServers the backend servers of these services, by name
 * @param caps the caps of these services, by name
 */
public record TeamSettings(
        SortedMap<String, Service> services,
        SortedMap<String, BackendServer> backendServers,
        SortedMap<String, Cap> caps) {

    public TeamSettings {
        services = DeploymentSettings.sorted(services);
        backendServers = DeploymentSettings.sorted(backendServers);
        caps = DeploymentSettings.sorted(caps);
    }
}
