package org.redwingladder.control;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.Headers;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.MemberId;
import org.redwingladder.membership.MembershipEvent;
import org.redwingladder.membership.Roster;
import org.redwingladder.supervisor.Supervisor;

/** Routes of the operator listener: health, metrics, status, planned stop and members. */
public final class OperatorRoutes {
    private final ClusterState mState;
    private final RosterDriver mRoster;
    private final ControlEventLoop mLoop;
    private final Supervisor mSupervisor;
    private final MetricRegistry mMetrics;
    private final Supplier<List<String>> mStopping;
    private final Runnable mDrain;

    /**
     * Declares a process dead.
     *
     * @param host the host
     * @param incarnation the process; null for the oldest one that the roster names
     * @param dead must be true
     */
    record Remove(@Nullable String host, @Nullable Long incarnation, boolean dead) {}

    /** Carries options of a planned stop; there are none yet. */
    record Drain() {}

    /**
     * Creates the routes.
     *
     * @param stopping gives the state of a planned stop, empty if there is none
     * @param drain begins a planned stop
     */
    public OperatorRoutes(
            ClusterState state,
            RosterDriver roster,
            ControlEventLoop loop,
            Supervisor supervisor,
            MetricRegistry metrics,
            Supplier<List<String>> stopping,
            Runnable drain) {
        mState = state;
        mRoster = roster;
        mLoop = loop;
        mSupervisor = supervisor;
        mMetrics = metrics;
        mStopping = stopping;
        mDrain = drain;
    }

    /** Adds the routes to {@code paths}. */
    public void add(PathHandler paths) {
        paths.addExactPath("/live", JsonHttpHandlers.get(exchange -> Map.of("live", true)));
        paths.addExactPath("/ready", this::ready);
        paths.addExactPath("/metrics", this::metrics);
        paths.addExactPath(
                "/metrics.json",
                JsonHttpHandlers.get(exchange -> MetricsFormatter.toJsonTree(mMetrics)));
        paths.addExactPath("/v1/status", JsonHttpHandlers.get(exchange -> status()));
        paths.addExactPath(
                "/v1/drain",
                JsonHttpHandlers.post(
                        Drain.class,
                        drain -> {
                            mDrain.run();
                            return CompletableFuture.completedFuture(
                                    Map.of("stopping", mStopping.get()));
                        }));
        paths.addExactPath("/v1/members/remove", JsonHttpHandlers.post(Remove.class, this::remove));
    }

    /** Returns why this process should get no new clients; empty if it should. */
    private List<String> notReady() {
        List<String> reasons = new ArrayList<>(mStopping.get());
        reasons.addAll(mState.notReadyReasons());
        return reasons;
    }

    private void ready(HttpServerExchange exchange) {
        List<String> reasons = notReady();
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("ready", reasons.isEmpty());
        answer.put("reasons", reasons);
        JsonHttpHandlers.send(exchange, reasons.isEmpty() ? 200 : 503, answer);
    }

    private void metrics(HttpServerExchange exchange) {
        exchange.getResponseHeaders()
                .put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8");
        exchange.getResponseSender().send(MetricsFormatter.toPrometheusText(mMetrics));
    }

    private CompletableFuture<?> remove(Remove request) {
        String host = request.host();
        if (host == null || !request.dead()) {
            return CompletableFuture.failedFuture(
                    new IllegalArgumentException(
                            "expected {\"host\": HOST, \"dead\": true}; dead states that the"
                                    + " process has certainly ended"));
        }
        MemberId process = find(host, request.incarnation());
        if (process == null) {
            return CompletableFuture.failedFuture(
                    new IllegalArgumentException(
                            "host " + host + " has no such process in zone " + mState.zone()));
        }
        if (process.equals(mState.member().id())) {
            return CompletableFuture.failedFuture(
                    new IllegalArgumentException("process " + process + " is the one asked"));
        }
        mRoster.submit(new MembershipEvent.DeclaredDead(process));
        return CompletableFuture.completedFuture(Map.of("removing", process));
    }

    // A process of the epoch before comes first: it is what an unsettled epoch waits for, and the
    // host may already run a new process.
    private @Nullable MemberId find(String host, @Nullable Long incarnation) {
        Roster roster = mState.roster();
        if (roster == null) {
            return null;
        }
        List<Member> named = new ArrayList<>(roster.previous());
        named.addAll(roster.members());
        for (Member member : named) {
            if (member.host().equals(host)
                    && (incarnation == null || incarnation == member.incarnation())) {
                return member.id();
            }
        }
        return null;
    }

    private Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("host", mState.member().host());
        status.put("incarnation", mState.member().incarnation());
        status.put("zone", mState.zone());
        status.put("ready", notReady().isEmpty());
        status.put("reasons", notReady());
        status.put("settingsVersion", mState.settingsVersion());
        status.put("confirmed", mState.holdsOwnerLease());
        status.put("sites", mState.ownedServices().stream().sorted().toList());
        status.put("steward", mState.isCoordinator());
        status.put("uptimeMillis", mLoop.nowMillis());
        Roster roster = mState.roster();
        if (roster != null) {
            status.put("roster", roster);
        }
        status.put("zones", mState.directory().zones());
        status.put("parts", mSupervisor.status());
        return status;
    }
}
