package org.redwingladder.entry;

import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.redwingladder.steering.ServerEntry;
import org.redwingladder.steering.SteeringSettings;

/** Passes on the backend servers that a host believes in, and nothing else of its state. */
record ServersListener(Consumer<Map<String, ServerEntry>> consumer)
        implements StoreReplica.Receiver {
    @Override
    public void settings(SteeringSettings settings) {}

    @Override
    public void evacuated(Set<String> zones) {}

    @Override
    public void servers(Map<String, ServerEntry> servers) {
        consumer.accept(servers);
    }
}
