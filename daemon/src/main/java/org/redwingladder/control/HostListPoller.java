package org.redwingladder.control;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.redwingladder.membership.MembershipEvent;
import org.redwingladder.platform.HostList;
import org.redwingladder.platform.PlatformClient;
import org.redwingladder.supervisor.Component;

/**
 * Polls the platform's host list for hosts that are leaving. Only zone coordinators and site owners
 * poll it. The list is a hint: hosts that are missing from it keep their state.
 */
public final class HostListPoller implements Component {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long MIN_PERIOD_MILLIS = 3000;

    // The list of a large deployment has hundreds of kilobytes, and the budget of a host for all of
    // its control traffic is 6 KB/s.
    private static final long BYTES_PER_SECOND = 2048;
    private static final long BYTES_PER_HOST = 96;
    private static final long CALL_TIMEOUT_MILLIS = 3000;
    private static final long TICK_MILLIS = 500;

    private final ClusterState mState;
    private final MembershipDriver mRoster;
    private final ControlEventLoop mLoop;
    private final PlatformClient mPlatform;
    private final MetricRegistry mMetrics;
    private Component.FailureListener mFailures = cause -> {};
    private ControlEventLoop.@Nullable PeriodicTask mPeriodicTask;
    private long mNextPollAt;
    private long mVersion = -1;

    /** Creates a poller that reports leaving hosts to {@code state} and {@code roster}. */
    public HostListPoller(
            ClusterState state,
            MembershipDriver roster,
            ControlEventLoop loop,
            PlatformClient platform,
            MetricRegistry metrics) {
        mState = state;
        mRoster = roster;
        mLoop = loop;
        mPlatform = platform;
        mMetrics = metrics;
    }

    @Override
    public String name() {
        return "hosts";
    }

    @Override
    public void start(Component.FailureListener failures) {
        mFailures = failures;
        mPeriodicTask = mLoop.scheduleWithFixedDelay(TICK_MILLIS, this::pollIfDue, failures);
    }

    @Override
    public void stop() {
        if (mPeriodicTask != null) {
            mPeriodicTask.cancel();
        }
    }

    private void pollIfDue() {
        long now = mLoop.nowMillis();
        if (now < mNextPollAt || !(mState.isCoordinator() || !mState.ownedServices().isEmpty())) {
            return;
        }
        mNextPollAt = now + CALL_TIMEOUT_MILLIS + MIN_PERIOD_MILLIS;
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MILLIS);
        mPlatform
                .hosts(deadline)
                .whenComplete(
                        (list, failure) ->
                                mLoop.execute(() -> handleResponse(list, failure), mFailures));
    }

    private void handleResponse(@Nullable HostList list, @Nullable Throwable failure) {
        long now = mLoop.nowMillis();
        if (list == null) {
            mMetrics.counter("hosts.reads.failed").inc();
            LOG.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "platform: failed to read the host list: %s",
                    failure == null ? "no response" : failure.getMessage());
            mNextPollAt = now + MIN_PERIOD_MILLIS;
            return;
        }
        mMetrics.counter("hosts.reads").inc();
        long bytes = BYTES_PER_HOST * list.hosts().size();
        mNextPollAt = now + Math.max(MIN_PERIOD_MILLIS, 1000 * bytes / BYTES_PER_SECOND);
        if (list.version() < mVersion) {
            return;
        }
        mVersion = list.version();
        Set<String> leaving =
                list.hosts().stream()
                        .filter(HostList.Host::leaving)
                        .map(HostList.Host::host)
                        .collect(Collectors.toSet());
        mState.updateLeavingHosts(leaving);
        mRoster.submit(new MembershipEvent.HostsLeaving(leaving));
    }
}
