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

/** Routes of the operator listener: health, metrics, status, shutdown and member removal. */
public final class OperatorRoutes {
    private final ClusterState mState;
    private final MembershipDriver mRoster;
    private final ControlEventLoop mLoop;
    private final Supervisor mSupervisor;
    private final MetricRegistry mMetrics;
    private final Supplier<List<String>> mShutdownStatus;
    private final Runnable mBeginShutdown;

    /**
     * Request body that declares a process dead and removes it from the roster.
     *
     * @param host the host
     * @param incarnation the process on the host; null for the oldest one in the roster
     * @param dead must be true: confirms that the process has ended
     */
    record RemoveMemberRequest(@Nullable String host, @Nullable Long incarnation, boolean dead) {}

    /** Request body of a graceful shutdown; there are no options yet. */
    record DrainRequest() {}

    /**
     * Creates the routes.
     *
     * @param shutdownStatus returns the state of a graceful shutdown, empty if there is none
     * @param beginShutdown begins a graceful shutdown
     */
    public OperatorRoutes(
            ClusterState state,
            MembershipDriver roster,
            ControlEventLoop loop,
            Supervisor supervisor,
            MetricRegistry metrics,
            Supplier<List<String>> shutdownStatus,
            Runnable beginShutdown) {
        mState = state;
        mRoster = roster;
        mLoop = loop;
        mSupervisor = supervisor;
        mMetrics = metrics;
        mShutdownStatus = shutdownStatus;
        mBeginShutdown = beginShutdown;
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
                        DrainRequest.class,
                        request -> {
                            mBeginShutdown.run();
                            return CompletableFuture.completedFuture(
                                    Map.of("stopping", mShutdownStatus.get()));
                        }));
        paths.addExactPath(
                "/v1/members/remove",
                JsonHttpHandlers.post(RemoveMemberRequest.class, this::removeMember));
    }

    /** Returns why this process must not get new clients; empty if it is ready for them. */
    private List<String> notReady() {
        List<String> reasons = new ArrayList<>(mShutdownStatus.get());
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

    private CompletableFuture<?> removeMember(RemoveMemberRequest request) {
        String host = request.host();
        if (host == null || !request.dead()) {
            return CompletableFuture.failedFuture(
                    new IllegalArgumentException(
                            "expected {\"host\": HOST, \"dead\": true}; dead confirms that"
                                    + " the process has ended"));
        }
        MemberId process = findProcess(host, request.incarnation());
        if (process == null) {
            return CompletableFuture.failedFuture(
                    new IllegalArgumentException(
                            "host "
                                    + host
                                    + " has no such process in the roster of zone "
                                    + mState.zone()));
        }
        if (process.equals(mState.member().id())) {
            return CompletableFuture.failedFuture(
                    new IllegalArgumentException("process " + process + " cannot remove itself"));
        }
        mRoster.submit(new MembershipEvent.DeclaredDead(process));
        return CompletableFuture.completedFuture(Map.of("removing", process));
    }

    // Processes of the previous epoch come first: an unsettled epoch waits for them, and the host
    // may already run a new process.
    private @Nullable MemberId findProcess(String host, @Nullable Long incarnation) {
        Roster roster = mState.roster();
        if (roster == null) {
            return null;
        }
        List<Member> candidates = new ArrayList<>(roster.previous());
        candidates.addAll(roster.members());
        for (Member member : candidates) {
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
