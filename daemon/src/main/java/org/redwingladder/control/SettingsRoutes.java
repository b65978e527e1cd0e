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

/** Serves settings to operators and to other entry hosts. */
public final class SettingsRoutes {
    private static final String TREE = "/v1/settings/tree";
    private static final String CHANGES = "/v1/settings/changes";
    private static final String CHANGE_ID = "[A-Za-z0-9._-]{1,100}";
    private static final long MAX_PUT_BYTES = 4L << 20;
    private static final int MAX_HISTORY = 50;

    private final SettingsReplicator mDriver;
    private final Set<String> mInProgress = ConcurrentHashMap.newKeySet();

    private SettingsRoutes(SettingsReplicator driver) {
        mDriver = driver;
    }

    /** Adds the routes of the peer listener. */
    public static void addPeer(PathHandler paths, SettingsReplicator driver) {
        paths.addExactPath(
                SettingsPeerClient.PULL,
                get(exchange -> driver.answerPull(number(exchange, "after"))));
        paths.addExactPath(
                SettingsPeerClient.PUSH,
                JsonHttpHandlers.post(SettingsMessage.class, driver::answerPush));
    }

    /** Adds the routes of the operator listener. */
    public static void addOperator(PathHandler paths, SettingsReplicator driver) {
        SettingsRoutes routes = new SettingsRoutes(driver);
        paths.addPrefixPath(TREE, routes::tree);
        paths.addExactPath(
                "/v1/settings/history", get(exchange -> routes.history(number(exchange, "after"))));
        paths.addPrefixPath(
                CHANGES,
                get(
                        exchange ->
                                routes.check(
                                        exchange.getRequestPath()
                                                .substring(CHANGES.length())
                                                .replaceFirst("^/", ""))));
    }

    /** Gives the answer to a GET. */
    private interface Answer {
        CompletableFuture<?> to(HttpServerExchange exchange);
    }

    private static HttpHandler get(Answer answer) {
        return exchange -> {
            if (!exchange.getRequestMethod().equals(Methods.GET)) {
                notAllowed(exchange, "GET");
                return;
            }
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> send(exchange, answer));
        };
    }

    private static void send(HttpServerExchange exchange, Answer answer) {
        CompletableFuture<?> future;
        try {
            future = answer.to(exchange);
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
        String path = exchange.getRequestPath().substring(TREE.length());
        if (exchange.getRequestMethod().equals(Methods.GET)) {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> mDriver.tree().thenAccept(tree -> value(exchange, tree, path)));
        } else if (exchange.getRequestMethod().equals(Methods.PUT)) {
            exchange.setMaxEntitySize(MAX_PUT_BYTES);
            exchange.getRequestReceiver().receiveFullBytes((ex, body) -> put(ex, path, body));
        } else {
            notAllowed(exchange, "GET, PUT");
        }
    }

    private static void value(HttpServerExchange exchange, SettingsTree tree, String path) {
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
                    "the settings hold nothing at " + path);
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
        List<SettingsError> faults = new ArrayList<>();
        String changeId = header(exchange, Headers.CHANGE_ID, CHANGE_ID, faults);
        String team = header(exchange, Headers.TEAM, "[a-z0-9][a-z0-9-]{0,62}", faults);
        String teamKey = header(exchange, Headers.TEAM_KEY, "[ -~]{1,200}", faults);
        String match = header(exchange, "If-Match", "\"?[0-9]{1,18}\"?", faults);
        JsonNode value = null;
        try {
            value = Json.tree(body);
        } catch (JsonException e) {
            faults.add(new SettingsError(path, "not JSON: " + e.getMessage(), "one JSON value"));
        }
        if (!faults.isEmpty()) {
            refuse(exchange, 400, RefusalReason.BAD_REQUEST, Outcome.NOT_RUN, faults);
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
        mInProgress.add(changeId);
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () ->
                        SettingsPut.run(mDriver, request)
                                .thenAccept(
                                        outcome -> {
                                            mInProgress.remove(changeId);
                                            answer(exchange, request, outcome);
                                        }));
    }

    private static String header(
            HttpServerExchange exchange, String name, String pattern, List<SettingsError> faults) {
        String value = exchange.getRequestHeaders().getFirst(new HttpString(name));
        if (value == null || !value.matches(pattern)) {
            String found = value == null ? "missing header" : "malformed header";
            faults.add(new SettingsError(name, found, "text that matches " + pattern));
            return "";
        }
        return value;
    }

    private static void answer(
            HttpServerExchange exchange, SettingsPut.Request request, SettingsPut.Outcome outcome) {
        switch (outcome) {
            case SettingsPut.Outcome.Accepted accepted ->
                    JsonHttpHandlers.send(
                            exchange,
                            200,
                            Map.of("changeId", request.changeId(), "version", accepted.version()));
            case SettingsPut.Outcome.Conflict conflict -> conflict(exchange, request, conflict);
            case SettingsPut.Outcome.Invalid invalid ->
                    refuse(
                            exchange,
                            422,
                            RefusalReason.BAD_REQUEST,
                            Outcome.NOT_RUN,
                            invalid.errors());
            case SettingsPut.Outcome.Forbidden forbidden ->
                    JsonHttpHandlers.sendError(
                            exchange, 403, RefusalReason.BAD_REQUEST, forbidden.message());
            case SettingsPut.Outcome.Settled settled ->
                    JsonHttpHandlers.sendError(
                            exchange, 409, RefusalReason.BAD_REQUEST, settled.message());
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

    private static void conflict(
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
                                        + " came first");
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("error", detail(RefusalReason.BAD_REQUEST, Outcome.NOT_RUN, message));
        answer.put("subtreeVersion", conflict.subtreeVersion());
        if (won != null) {
            answer.put("won", won);
        }
        JsonHttpHandlers.send(exchange, 409, answer);
    }

    private static void refuse(
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
        return mDriver.tree()
                .thenCompose(
                        tree ->
                                mDriver.store()
                                        .changes(
                                                Math.min(after, tree.version()),
                                                Math.min(after + MAX_HISTORY, tree.version())))
                .thenApply(changes -> Map.of("changes", changes));
    }

    /**
     * Tells whether a change was accepted. If the platform knows nothing of it, the change id is
     * refused for good first, so that a put that is still on its way cannot make the answer wrong.
     */
    private CompletableFuture<Map<String, Object>> check(String changeId) {
        if (!changeId.matches(CHANGE_ID)) {
            throw new IllegalArgumentException("a change id matches " + CHANGE_ID);
        }
        if (mInProgress.contains(changeId)) {
            return CompletableFuture.completedFuture(state(changeId, "unknown", 0));
        }
        return mDriver.store()
                .id(changeId)
                .thenCompose(
                        id ->
                                id.row() > 0
                                        ? CompletableFuture.completedFuture(
                                                settled(changeId, id.version()))
                                        : mDriver.store()
                                                .refuse(changeId)
                                                .thenApply(result -> refused(changeId, result)))
                .exceptionally(failure -> state(changeId, "unknown", 0));
    }

    private static Map<String, Object> refused(String changeId, TransactionResult result) {
        return switch (result) {
            case TransactionResult.Committed committed -> settled(changeId, 0);
            case TransactionResult.Conflict conflict ->
                    settled(
                            changeId,
                            SettingsStore.number(conflict.failed().getFirst(), "version"));
            case TransactionResult.Unknown unknown -> state(changeId, "unknown", 0);
        };
    }

    private static Map<String, Object> settled(String changeId, long version) {
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

    private static long number(HttpServerExchange exchange, String name) {
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

    private static void notAllowed(HttpServerExchange exchange, String methods) {
        exchange.getResponseHeaders().put(io.undertow.util.Headers.ALLOW, methods);
        JsonHttpHandlers.sendError(
                exchange,
                405,
                RefusalReason.BAD_REQUEST,
                exchange.getRequestPath() + " allows " + methods + " only");
    }
}
