package org.redwingladder.standin;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Dispatches requests to the load report, the admin endpoint or the backend server. */
final class BackendHandler implements HttpHandler {
    private static final AttachmentKey<Boolean> SEEN = AttachmentKey.create(Boolean.class);

    private final BackendServer mServer;
    private final LongAdder mConnectionsOpened = new LongAdder();

    BackendHandler(BackendServer server) {
        mServer = server;
    }

    long connectionsOpened() {
        return mConnectionsOpened.sum();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (path.equals("/load")) {
            Exchanges.sendJson(exchange, 200, mServer.loadReport());
        } else if (path.startsWith("/admin/")) {
            admin(mServer, exchange, path.substring("/admin/".length()));
        } else if (!mServer.admitsConnection()) {
            Exchanges.closeConnection(exchange);
        } else {
            boolean first = isFirst(exchange.getConnection());
            Exchanges.readBody(exchange, (e, body) -> mServer.accept(e, first));
        }
    }

    /** Handles the admin operation {@code operation} (faults, journal, stats) of {@code server}. */
    static void admin(BackendServer server, HttpServerExchange exchange, String operation) {
        switch (exchange.getRequestMethod() + " " + operation) {
            case "POST faults" ->
                    Exchanges.readJson(
                            exchange,
                            (e, body) -> {
                                BackendFaults faults = BackendFaults.parse(body);
                                // Rebinding the port may block on other I/O threads.
                                e.dispatch(() -> inject(server, e, faults));
                            });
            case "GET faults" -> Exchanges.sendJson(exchange, 200, server.faults());
            case "GET journal" -> Exchanges.sendJson(exchange, 200, journal(server, exchange));
            case "GET stats" -> Exchanges.sendJson(exchange, 200, server.stats());
            default ->
                    Exchanges.sendError(
                            exchange,
                            404,
                            "not-found",
                            "No resource at " + exchange.getRequestPath());
        }
    }

    private static void inject(
            BackendServer server, HttpServerExchange exchange, BackendFaults faults) {
        try {
            server.inject(faults);
            Exchanges.sendJson(exchange, 200, faults);
        } catch (IOException e) {
            Exchanges.sendError(exchange, 500, "failed", String.valueOf(e.getMessage()));
        }
    }

    private static Map<String, Object> journal(BackendServer server, HttpServerExchange exchange) {
        String id = Exchanges.query(exchange, "id", "");
        List<RunJournal.Run> runs =
                id.isEmpty() ? server.journal().runs() : server.journal().runsOf(id);
        return Map.of("server", server.name(), "runs", runs);
    }

    private boolean isFirst(ServerConnection connection) {
        boolean first = connection.putAttachment(SEEN, true) == null;
        if (first) {
            mConnectionsOpened.increment();
        }
        return first;
    }
}
