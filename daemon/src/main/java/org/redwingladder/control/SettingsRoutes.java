package org.redwingladder.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.ErrorBody;
import org.redwingladder.api.Headers;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;
import org.redwingladder.platform.TransactionResult;
import org.redwingladder.settings.SettingsChange;
import org.redwingladder.settings.SettingsError;
import org.redwingladder.settings.SettingsException;
import org.redwingladder.settings.SettingsTree;

/** Routes for settings: of the operator listener and of the peer listener. */
public final class SettingsRoutes {
    private static final String TREE_PATH = "/v1/settings/tree";
    private static final String CHANGES_PATH = "/v1/settings/changes";
    private static final String CHANGE_ID_PATTERN = "[A-Za-z0-9._-]{1,100}";
    private static final long MAX_PUT_BYTES = 4L << 20;
    private static final int MAX_HISTORY_CHANGES = 50;

    private final SettingsReplicator mReplicator;
    private final Set<String> mPutsInProgress = ConcurrentHashMap.newKeySet();

    private SettingsRoutes(SettingsReplicator replicator) {
        mReplicator = replicator;
    }

    /** Adds the routes of the peer listener: pull and push. */
    public static void addPeer(PathHandler paths, SettingsReplicator replicator) {
        paths.addExactPath(
                SettingsPeerClient.PULL_PATH,
                get(exchange -> replicator.handlePull(versionParameter(exchange, "after"))));
        paths.addExactPath(
                SettingsPeerClient.PUSH_PATH,
                JsonHttpHandlers.post(SettingsMessage.class, replicator::handlePush));
    }

    /** Adds the routes of the operator listener: tree, history and changes. */
    public static void addOperator(PathHandler paths, SettingsReplicator replicator) {
        SettingsRoutes routes = new SettingsRoutes(replicator);
        paths.addPrefixPath(TREE_PATH, routes::tree);
        paths.addExactPath(
                "/v1/settings/history",
                get(exchange -> routes.history(versionParameter(exchange, "after"))));
        paths.addPrefixPath(
                CHANGES_PATH,
                get(
                        exchange ->
                                routes.changeState(
                                        exchange.getRequestPath()
                                                .substring(CHANGES_PATH.length())
                                                .replaceFirst("^/", ""))));
    }

    /** Computes the response to a GET; throws IllegalArgumentException for a bad request. */
    private interface GetHandler {
        CompletableFuture<?> handle(HttpServerExchange exchange);
    }

    private static HttpHandler get(GetHandler handler) {
        return exchange -> {
            if (!exchange.getRequestMethod().equals(Methods.GET)) {
                sendMethodNotAllowed(exchange, "GET");
                return;
            }
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> respond(exchange, handler));
        };
    }

    private static void respond(HttpServerExchange exchange, GetHandler handler) {
        CompletableFuture<?> future;
        try {
            future = handler.handle(exchange);
        } catch (IllegalArgumentException e) {
            JsonHttpHandlers.sendError(
                    exchange, 400, RefusalReason.BAD_REQUEST, String.valueOf(e.getMessage()));
            return;
        }
        future.whenComplete(
                (value, failure) -> {
                    if (failure == null) {
                        JsonHttpHandlers.send(exchange, 200, value);
                    } else {
                        JsonHttpHandlers.sendError(
                                exchange,
                                503,
                                RefusalReason.PLATFORM_UNAVAILABLE,
                                String.valueOf(failure.getMessage()));
                    }
                });
    }

    private void tree(HttpServerExchange exchange) throws Exception {
        String path = exchange.getRequestPath().substring(TREE_PATH.length());
        if (exchange.getRequestMethod().equals(Methods.GET)) {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> mReplicator.tree().thenAccept(tree -> sendValue(exchange, tree, path)));
        } else if (exchange.getRequestMethod().equals(Methods.PUT)) {
            exchange.setMaxEntitySize(MAX_PUT_BYTES);
            exchange.getRequestReceiver().receiveFullBytes((ex, body) -> put(ex, path, body));
        } else {
            sendMethodNotAllowed(exchange, "GET, PUT");
        }
    }

    private static void sendValue(HttpServerExchange exchange, SettingsTree tree, String path) {
        JsonNode value;
        try {
            value = tree.valueAt(path);
        } catch (IllegalArgumentException e) {
            JsonHttpHandlers.sendError(
                    exchange, 400, RefusalReason.BAD_REQUEST, path + " is not a JSON pointer");
            return;
        }
        if (value == null) {
            JsonHttpHandlers.sendError(
                    exchange,
                    404,
                    RefusalReason.BAD_REQUEST,
                    "the settings have no value at " + path);
            return;
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("path", path);
        answer.put("version", tree.version());
        answer.put("subtreeVersion", subtreeVersion(tree, path));
        answer.put("value", value);
        JsonHttpHandlers.send(exchange, 200, answer);
    }

    private static long subtreeVersion(SettingsTree tree, String path) {
        try {
            return tree.subtreeVersion(SettingsTree.ownerOf(path));
        } catch (SettingsException e) {
            return tree.version();
        }
    }

    private void put(HttpServerExchange exchange, String path, byte[] body) {
        List<SettingsError> errors = new ArrayList<>();
        String changeId = requireHeader(exchange, Headers.CHANGE_ID, CHANGE_ID_PATTERN, errors);
        String team = requireHeader(exchange, Headers.TEAM, "[a-z0-9][a-z0-9-]{0,62}", errors);
        String teamKey = requireHeader(exchange, Headers.TEAM_KEY, "[ -~]{1,200}", errors);
        String match = requireHeader(exchange, "If-Match", "\"?[0-9]{1,18}\"?", errors);
        JsonNode value = null;
        try {
            value = Json.tree(body);
        } catch (JsonException e) {
            errors.add(new SettingsError(path, "not JSON: " + e.getMessage(), "one JSON value"));
        }
        if (!errors.isEmpty()) {
            sendErrors(exchange, 400, RefusalReason.BAD_REQUEST, Outcome.NOT_RUN, errors);
            return;
        }
        SettingsPut.Request request =
                new SettingsPut.Request(
                        path,
                        value,
                        Long.parseLong(match.replace("\"", "")),
                        changeId,
                        team,
                        teamKey,
                        exchange.getSourceAddress().getAddress().getHostAddress(),
                        System.currentTimeMillis());
        mPutsInProgress.add(changeId);
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () ->
                        SettingsPut.run(mReplicator, request)
                                .thenAccept(
                                        outcome -> {
                                            mPutsInProgress.remove(changeId);
                                            sendOutcome(exchange, request, outcome);
                                        }));
    }

    private static String requireHeader(
            HttpServerExchange exchange, String name, String pattern, List<SettingsError> errors) {
        String value = exchange.getRequestHeaders().getFirst(new HttpString(name));
        if (value == null || !value.matches(pattern)) {
            String found = value == null ? "missing header" : "malformed header";
            errors.add(new SettingsError(name, found, "text that matches " + pattern));
            return "";
        }
        return value;
    }

    private static void sendOutcome(
            HttpServerExchange exchange, SettingsPut.Request request, SettingsPut.Outcome outcome) {
        switch (outcome) {
            case SettingsPut.Outcome.Accepted accepted ->
                    JsonHttpHandlers.send(
                            exchange,
                            200,
                            Map.of("changeId", request.changeId(), "version", accepted.version()));
            case SettingsPut.Outcome.Conflict conflict -> sendConflict(exchange, request, conflict);
            case SettingsPut.Outcome.Invalid invalid ->
                    sendErrors(
                            exchange,
                            422,
                            RefusalReason.BAD_REQUEST,
                            Outcome.NOT_RUN,
                            invalid.errors());
            case SettingsPut.Outcome.Forbidden forbidden ->
                    JsonHttpHandlers.sendError(
                            exchange, 403, RefusalReason.BAD_REQUEST, forbidden.message());
            case SettingsPut.Outcome.ChangeIdRevoked revoked ->
                    JsonHttpHandlers.sendError(
                            exchange, 409, RefusalReason.BAD_REQUEST, revoked.message());
            case SettingsPut.Outcome.NotRun notRun ->
                    JsonHttpHandlers.sendError(
                            exchange, 503, RefusalReason.PLATFORM_UNAVAILABLE, notRun.message());
            case SettingsPut.Outcome.Unknown unknown ->
                    JsonHttpHandlers.send(
                            exchange,
                            504,
                            new ErrorBody(
                                    new ErrorBody.Detail(
                                            RefusalReason.PLATFORM_UNAVAILABLE,
                                            Outcome.UNKNOWN,
                                            0,
                                            unknown.message(),
                                            request.changeId())));
        }
    }

    private static void sendConflict(
            HttpServerExchange exchange,
            SettingsPut.Request request,
            SettingsPut.Outcome.Conflict conflict) {
        SettingsChange won = conflict.won();
        String message =
                "the subtree of team "
                        + request.team()
                        + " has version "
                        + conflict.subtreeVersion()
                        + ", not "
                        + request.subtreeVersion()
                        + (won == null
                                ? ""
                                : ": change "
                                        + won.changeId()
                                        + " of "
                                        + won.path()
                                        + " by "
                                        + won.author()
                                        + " was accepted first");
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("error", detail(RefusalReason.BAD_REQUEST, Outcome.NOT_RUN, message));
        answer.put("subtreeVersion", conflict.subtreeVersion());
        if (won != null) {
            answer.put("won", won);
        }
        JsonHttpHandlers.send(exchange, 409, answer);
    }

    private static void sendErrors(
            HttpServerExchange exchange,
            int status,
            RefusalReason reason,
            Outcome outcome,
            List<SettingsError> errors) {
        String message =
                errors.stream().map(SettingsError::toString).collect(Collectors.joining("\n"));
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("error", detail(reason, outcome, message));
        answer.put("errors", errors);
        JsonHttpHandlers.send(exchange, status, answer);
    }

    private static ErrorBody.Detail detail(RefusalReason reason, Outcome outcome, String message) {
        return new ErrorBody.Detail(reason, outcome, 0, message, "");
    }

    private CompletableFuture<Map<String, Object>> history(long after) {
        return mReplicator
                .tree()
                .thenCompose(
                        tree ->
                                mReplicator
                                        .store()
                                        .changes(
                                                Math.min(after, tree.version()),
                                                Math.min(
                                                        after + MAX_HISTORY_CHANGES,
                                                        tree.version())))
                .thenApply(changes -> Map.of("changes", changes));
    }

    /**
     * Returns whether a change was accepted. An id without a row is first recorded as not accepted,
     * so that a put that is still in flight cannot be accepted after the response.
     */
    private CompletableFuture<Map<String, Object>> changeState(String changeId) {
        if (!changeId.matches(CHANGE_ID_PATTERN)) {
            throw new IllegalArgumentException("a change id must match " + CHANGE_ID_PATTERN);
        }
        if (mPutsInProgress.contains(changeId)) {
            return CompletableFuture.completedFuture(state(changeId, "unknown", 0));
        }
        return mReplicator
                .store()
                .changeId(changeId)
                .thenCompose(
                        id ->
                                id.rowVersion() > 0
                                        ? CompletableFuture.completedFuture(
                                                recordedState(changeId, id.version()))
                                        : mReplicator
                                                .store()
                                                .revokeChangeId(changeId)
                                                .thenApply(
                                                        result ->
                                                                revocationState(changeId, result)))
                .exceptionally(failure -> state(changeId, "unknown", 0));
    }

    private static Map<String, Object> revocationState(String changeId, TransactionResult result) {
        return switch (result) {
            case TransactionResult.Committed committed -> recordedState(changeId, 0);
            case TransactionResult.Conflict conflict ->
                    recordedState(
                            changeId,
                            SettingsStore.integerField(conflict.failed().getFirst(), "version"));
            case TransactionResult.Unknown unknown -> state(changeId, "unknown", 0);
        };
    }

    private static Map<String, Object> recordedState(String changeId, long version) {
        return state(changeId, version > 0 ? "accepted" : "not-accepted", version);
    }

    private static Map<String, Object> state(String changeId, String state, long version) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("changeId", changeId);
        answer.put("state", state);
        if (version > 0) {
            answer.put("version", version);
        }
        return answer;
    }

    private static long versionParameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        @Nullable String text = values == null ? null : values.peekFirst();
        if (text == null) {
            return 0;
        }
        if (!text.matches("[0-9]{1,18}")) {
            throw new IllegalArgumentException(name + " must be a version number, found " + text);
        }
        return Long.parseLong(text);
    }

    private static void sendMethodNotAllowed(HttpServerExchange exchange, String methods) {
        exchange.getResponseHeaders().put(io.undertow.util.Headers.ALLOW, methods);
        JsonHttpHandlers.sendError(
                exchange,
                405,
                RefusalReason.BAD_REQUEST,
                exchange.getRequestPath() + " allows " + methods + " only");
    }
}
