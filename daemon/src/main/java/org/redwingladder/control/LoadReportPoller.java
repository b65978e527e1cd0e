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
    private static final long CALL_TIMEOUT_MILLIS = 900;

    // The owner's own count of requests in flight is a better estimate than an older report.
    private static final long MAX_AGE_MILLIS = 5000;

    private final ClusterState mState;
    private final ControlEventLoop mLoop;
    private final AsyncHttpClient mCaller;
    private final MetricRegistry mMetrics;
    private final Map<InetSocketAddress, Long> mCallDeadlines = new HashMap<>();
    private Component.FailureListener mFailures = cause -> {};
    private ControlEventLoop.@Nullable PeriodicTask mPeriodicTask;

    /**
     * Response body of {@code GET /load}.
     *
     * @param inFlight the number of requests in flight at the backend server
     * @param slots the number of requests that it can process concurrently
     * @param state the name of a {@link LoadReport.State}, in any case
     * @param reportedAt the time of the measurement, in epoch milliseconds
     */
    record LoadResponse(int inFlight, int slots, String state, long reportedAt) {}

    /** Creates a poller that passes reports to the listeners of {@code state}. */
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
        mPeriodicTask = mLoop.scheduleWithFixedDelay(PERIOD_MILLIS, this::poll, failures);
    }

    @Override
    public void stop() {
        if (mPeriodicTask != null) {
            mPeriodicTask.cancel();
        }
    }

    private void poll() {
        long now = mLoop.nowMillis();
        mCallDeadlines.values().removeIf(deadline -> deadline <= now);
        for (String service : mState.ownedServices()) {
            SiteSpec site = mState.ownedSite(service);
            if (site != null) {
                site.addresses()
                        .forEach((backend, address) -> poll(service, backend, address, now));
            }
        }
    }

    private void poll(String service, String backend, InetSocketAddress address, long now) {
        if (mCallDeadlines.putIfAbsent(address, now + CALL_TIMEOUT_MILLIS) != null) {
            return;
        }
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MILLIS);
        mCaller.fetch(CallRequest.of(Methods.GET, address, "/load", deadline))
                .whenComplete(
                        (answer, failure) ->
                                mLoop.execute(
                                        () -> handleResponse(service, backend, address, answer),
                                        mFailures));
    }

    private void handleResponse(
            String service,
            String backend,
            InetSocketAddress address,
            @Nullable BufferedResponse answer) {
        mCallDeadlines.remove(address);
        LoadReport report = parse(answer);
        if (report == null) {
            mMetrics.counter("load.reports.missing").inc();
        } else {
            mMetrics.counter("load.reports").inc();
            mState.reportLoad(service, backend, report);
        }
    }

    private static @Nullable LoadReport parse(@Nullable BufferedResponse answer) {
        if (answer == null || answer.status() != 200) {
            return null;
        }
        try {
            LoadResponse load = Json.read(answer.body(), LoadResponse.class);
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
