package org.redwingladder.entry;

import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.redwingladder.steering.ServerRegistration;
import org.redwingladder.steering.SteeringSettings;

/** Forwards the usable backend servers of a replica to a consumer and ignores other state. */
record ServersListener(Consumer<Map<String, ServerRegistration>> consumer)
        implements StoreReplica.Listener {
    @Override
    public void settingsChanged(SteeringSettings settings) {}

    @Override
    public void evacuatedZonesChanged(Set<String> zones) {}

    @Override
    public void serversChanged(Map<String, ServerRegistration> servers) {
        consumer.accept(servers);
    }
}
