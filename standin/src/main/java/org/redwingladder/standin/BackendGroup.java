package org.redwingladder.standin;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.XnioWorker;

/**
 * Runs several backend servers on shared threads, with a common admin listener that stays reachable
 * while a server is down.
 */
public final class BackendGroup implements AutoCloseable {
    private static final String SERVERS = "/servers/";

    private final XnioWorker mWorker;
    private final Map<String, BackendServer> mServers = new LinkedHashMap<>();
    private final HttpListener mAdmin;

    private BackendGroup(XnioWorker worker, String ip, int adminPort) throws IOException {
        mWorker = worker;
        mAdmin = HttpListener.open(worker, ip, adminPort, this::handle);
    }

    /**
     * Starts backend servers.
     *
     * @param adminPort the port of the admin listener; 0 selects an ephemeral port
     * @throws IOException if a port cannot be bound
     */
    public static BackendGroup start(List<BackendConfig> configs, String ip, int adminPort)
            throws IOException {
        BackendGroup group = new BackendGroup(HttpListener.newWorker("backends", 4), ip, adminPort);
        try {
            for (BackendConfig config : configs) {
                group.mServers.put(config.name(), BackendServer.start(config, group.mWorker));
            }
            return group;
        } catch (IOException e) {
            group.close();
            throw e;
        }
    }

    /** Returns the address of the admin listener as {@code ip:port}. */
    public String adminAddress() {
        return mAdmin.addressText();
    }

    /** Returns the servers. */
    public Collection<BackendServer> servers() {
        return List.copyOf(mServers.values());
    }

    @Override
    public void close() {
        mServers.values().forEach(BackendServer::close);
        mAdmin.close();
        mWorker.shutdownNow();
    }

    private void handle(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (path.equals("/servers")) {
            List<Map<String, String>> servers = new ArrayList<>();
            for (BackendServer server : mServers.values()) {
                servers.add(Map.of("name", server.name(), "address", server.address()));
            }
            Exchanges.sendJson(exchange, 200, Map.of("servers", servers));
            return;
        }
        String[] parts = path.startsWith(SERVERS) ? path.substring(1).split("/") : new String[0];
        BackendServer server = parts.length == 4 ? mServers.get(parts[1]) : null;
        if (server == null || !parts[2].equals("admin")) {
            Exchanges.sendError(exchange, 404, "not-found", "No resource at " + path);
        } else {
            BackendHandler.admin(server, exchange, parts[3]);
        }
    }
}
