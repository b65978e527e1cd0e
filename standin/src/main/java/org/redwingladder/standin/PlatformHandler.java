package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Handles the requests of the platform's protocol. */
final class PlatformHandler implements HttpHandler {
    private static final String ROWS = "/table/rows";
    private static final String TRANSACTIONS = "/table/transactions";
    private static final String OBJECTS = "/objects/";

    /** The maximum number of rows in a page. */
    private static final int MAX_PAGE = 1_000;

    private final PlatformServer mServer;

    PlatformHandler(PlatformServer server) {
        mServer = server;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        boolean isGet = exchange.getRequestMethod().equals(Methods.GET);
        if (isGet && path.equals(ROWS)) {
            readPrefix(exchange);
        } else if (isGet && path.startsWith(ROWS + "/")) {
            readRow(exchange, path.substring(ROWS.length() + 1));
        } else if (isGet && path.startsWith(TRANSACTIONS + "/")) {
            readResult(exchange, path.substring(TRANSACTIONS.length() + 1));
        } else if (exchange.getRequestMethod().equals(Methods.POST) && path.equals(TRANSACTIONS)) {
            Exchanges.readJson(exchange, this::commit);
        } else if (isGet && path.startsWith(OBJECTS)) {
            readObject(exchange, path.substring(OBJECTS.length()));
        } else if (exchange.getRequestMethod().equals(Methods.PUT) && path.startsWith(OBJECTS)) {
            Exchanges.readBody(exchange, this::writeObject);
        } else if (isGet && path.equals("/hosts")) {
            if (mServer.admitRead(exchange)) {
                HostDirectory.HostList list = mServer.visibleHosts();
                mServer.respond(exchange, e -> Exchanges.sendJson(e, 200, list));
            }
        } else {
            notFound(exchange);
        }
    }

    /** Handles a request to the admin endpoint, to which faults do not apply. */
    void admin(HttpServerExchange exchange) {
        String operation = exchange.getRequestMethod() + " " + exchange.getRequestPath();
        switch (operation) {
            case "POST /admin/faults" ->
                    Exchanges.readJson(
                            exchange,
                            (e, body) -> {
                                mServer.inject(PlatformFaults.parse(body));
                                Exchanges.sendJson(e, 200, mServer.faults());
                            });
            case "GET /admin/faults" -> Exchanges.sendJson(exchange, 200, mServer.faults());
            case "POST /admin/hosts" -> Exchanges.readJson(exchange, this::replaceHosts);
            case "GET /admin/hosts" -> Exchanges.sendJson(exchange, 200, mServer.visibleHosts());
            case "GET /admin/stats" -> Exchanges.sendJson(exchange, 200, mServer.stats());
            default -> notFound(exchange);
        }
    }

    private void readPrefix(HttpServerExchange exchange) {
        if (!mServer.admitRead(exchange)) {
            return;
        }
        try {
            String prefix = Exchanges.query(exchange, "prefix", "");
            long after = Exchanges.queryNumber(exchange, "after", 0);
            long limit = Exchanges.queryNumber(exchange, "limit", MAX_PAGE);
            if (limit < 1 || limit > MAX_PAGE) {
                throw new IOException("limit must be 1 to " + MAX_PAGE);
            }
            List<PlatformTable.Row> rows = mServer.visibleTable().rows(prefix, after, (int) limit);
            mServer.respond(exchange, e -> Exchanges.sendJson(e, 200, Map.of("rows", rows)));
        } catch (IOException e) {
            Exchanges.sendError(exchange, 400, "bad-request", String.valueOf(e.getMessage()));
        }
    }

    private void readRow(HttpServerExchange exchange, String key) {
        if (!mServer.admitRead(exchange)) {
            return;
        }
        Optional<PlatformTable.Row> row = mServer.visibleTable().row(key);
        if (row.isPresent()) {
            mServer.respond(exchange, e -> Exchanges.sendJson(e, 200, row.get()));
        } else {
            mServer.respond(exchange, PlatformHandler::notFound);
        }
    }

    private void readResult(HttpServerExchange exchange, String id) {
        if (!mServer.admitRead(exchange)) {
            return;
        }
        Optional<PlatformTable.Committed> result = mServer.visibleTable().result(id);
        if (result.isPresent()) {
            mServer.respond(exchange, e -> Exchanges.sendJson(e, 200, result.get()));
        } else {
            mServer.respond(exchange, PlatformHandler::notFound);
        }
    }

    private void commit(HttpServerExchange exchange, JsonNode body) throws IOException {
        PlatformTable.Transaction transaction =
                Json.MAPPER.treeToValue(body, PlatformTable.Transaction.class);
        if (!mServer.admitWrite(exchange)) {
            return;
        }
        switch (mServer.table().commit(transaction)) {
            case PlatformTable.Committed committed ->
                    mServer.respondToWrite(exchange, e -> Exchanges.sendJson(e, 200, committed));
            case PlatformTable.Conflict conflict -> {
                mServer.countConflict();
                mServer.respond(exchange, e -> Exchanges.sendJson(e, 409, conflict));
            }
        }
    }

    private void readObject(HttpServerExchange exchange, String name) {
        if (!mServer.admitRead(exchange)) {
            return;
        }
        byte[] content = mServer.visibleObject(name);
        if (content == null) {
            mServer.respond(exchange, PlatformHandler::notFound);
        } else {
            mServer.respond(exchange, e -> Exchanges.sendBytes(e, 200, content));
        }
    }

    private void writeObject(HttpServerExchange exchange, byte[] content) {
        if (!mServer.admitWrite(exchange)) {
            return;
        }
        mServer.putObject(exchange.getRequestPath().substring(OBJECTS.length()), content);
        mServer.respondToWrite(
                exchange, e -> Exchanges.sendJson(e, 200, Map.of("size", content.length)));
    }

    private void replaceHosts(HttpServerExchange exchange, JsonNode body) throws IOException {
        HostDirectory.Host[] hosts =
                Json.MAPPER.treeToValue(body.path("hosts"), HostDirectory.Host[].class);
        if (hosts == null) {
            throw new IOException("hosts is required");
        }
        mServer.replaceHosts(List.of(hosts));
        Exchanges.sendJson(exchange, 200, mServer.visibleHosts());
    }

    private static void notFound(HttpServerExchange exchange) {
        Exchanges.sendError(
                exchange, 404, "not-found", "No resource at " + exchange.getRequestPath());
    }
}
