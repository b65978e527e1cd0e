package org.redwingladder.control;

import com.codahale.metrics.MetricRegistry;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;
import org.redwingladder.request.SiteSpec;
import org.redwingladder.routing.LoadReport;
import org.redwingladder.supervisor.Component;

/** Polls the load of the backend servers of the sites that this process owns. */
public final class LoadReportPoller implements Component {
    private static final long PERIOD_MILLIS = 1000;
    private static final long CALL_DEADLINE_MILLIS = 900;

    // An older report says nothing about now; it is worse than the owner's own counts.
    private static final long MAX_AGE_MILLIS = 5000;

    private final ClusterState mState;
    private final ControlEventLoop mLoop;
    private final AsyncHttpClient mCaller;
    private final MetricRegistry mMetrics;
    private final Map<InetSocketAddress, Long> mPending = new HashMap<>();
    private Component.FailureListener mFailures = cause -> {};
    private ControlEventLoop.@Nullable PeriodicTask mTicks;

    /**
     * Holds an answer to {@code GET /load}.
     *
     * @param inFlight how many requests the backend server works on
     * @param slots how many requests it can work on at a time
     * @param state its state
     * @param reportedAt when it measured this, in epoch milliseconds
     */
    record Load(int inFlight, int slots, String state, long reportedAt) {}

    /** Creates a driver that reports to the listeners of the cluster state. */
    public LoadReportPoller(
            ClusterState state,
            ControlEventLoop loop,
            AsyncHttpClient caller,
            MetricRegistry metrics) {
        mState = state;
        mLoop = loop;
        mCaller = caller;
        mMetrics = metrics;
    }

    @Override
    public String name() {
        return "load reports";
    }

    @Override
    public void start(Component.FailureListener failures) {
        mFailures = failures;
        mTicks = mLoop.scheduleWithFixedDelay(PERIOD_MILLIS, this::poll, failures);
    }

    @Override
    public void stop() {
        if (mTicks != null) {
            mTicks.cancel();
        }
    }

    private void poll() {
        long now = mLoop.nowMillis();
        mPending.values().removeIf(until -> until <= now);
        for (String service : mState.ownedServices()) {
            SiteSpec site = mState.ownedSite(service);
            if (site != null) {
                site.addresses().forEach((backend, at) -> poll(service, backend, at, now));
            }
        }
    }

    private void poll(String service, String backend, InetSocketAddress address, long now) {
        if (mPending.putIfAbsent(address, now + CALL_DEADLINE_MILLIS) != null) {
            return;
        }
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_DEADLINE_MILLIS);
        mCaller.fetch(CallRequest.of(Methods.GET, address, "/load", deadline))
                .whenComplete(
                        (answer, failure) ->
                                mLoop.execute(
                                        () -> take(service, backend, address, answer), mFailures));
    }

    private void take(
            String service,
            String backend,
            InetSocketAddress address,
            @Nullable BufferedResponse answer) {
        mPending.remove(address);
        LoadReport report = read(answer);
        if (report == null) {
            mMetrics.counter("load.reports.missing").inc();
        } else {
            mMetrics.counter("load.reports").inc();
            mState.reportLoad(service, backend, report);
        }
    }

    private static @Nullable LoadReport read(@Nullable BufferedResponse answer) {
        if (answer == null || answer.status() != 200) {
            return null;
        }
        try {
            Load load = Json.read(answer.body(), Load.class);
            if (System.currentTimeMillis() - load.reportedAt() > MAX_AGE_MILLIS) {
                return null;
            }
            return new LoadReport(
                    load.inFlight(),
                    load.slots(),
                    LoadReport.State.valueOf(load.state().toUpperCase(Locale.ROOT)));
        } catch (JsonException | IllegalArgumentException | NullPointerException e) {
            return null;
        }
    }
}
