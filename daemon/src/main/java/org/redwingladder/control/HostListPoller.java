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
 * Polls the platform's list of hosts for hosts that are leaving. Only stewards and owners of sites
 * poll it. The list is a hint: a host that it does not name stays what it is.
 */
public final class HostListPoller implements Component {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long SHORTEST_PERIOD_MILLIS = 3000;

    // The list of a large deployment has hundreds of kilobytes, and a node may spend 6 KB a second
    // on all of its control traffic.
    private static final long BYTES_PER_SECOND = 2048;
    private static final long BYTES_PER_HOST = 96;
    private static final long CALL_DEADLINE_MILLIS = 3000;
    private static final long TICK_MILLIS = 500;

    private final ClusterState mState;
    private final RosterDriver mRoster;
    private final ControlEventLoop mLoop;
    private final PlatformClient mPlatform;
    private final MetricRegistry mMetrics;
    private Component.FailureListener mFailures = cause -> {};
    private ControlEventLoop.@Nullable PeriodicTask mTicks;
    private long mNextAt;
    private long mVersion = -1;

    /** Creates a driver that reports to the cluster state and to the roster. */
    public HostListPoller(
            ClusterState state,
            RosterDriver roster,
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
        mTicks = mLoop.scheduleWithFixedDelay(TICK_MILLIS, this::tick, failures);
    }

    @Override
    public void stop() {
        if (mTicks != null) {
            mTicks.cancel();
        }
    }

    private void tick() {
        long now = mLoop.nowMillis();
        if (now < mNextAt || !(mState.isCoordinator() || !mState.ownedServices().isEmpty())) {
            return;
        }
        mNextAt = now + CALL_DEADLINE_MILLIS + SHORTEST_PERIOD_MILLIS;
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_DEADLINE_MILLIS);
        mPlatform
                .hosts(deadline)
                .whenComplete(
                        (list, failure) -> mLoop.execute(() -> take(list, failure), mFailures));
    }

    private void take(@Nullable HostList list, @Nullable Throwable failure) {
        long now = mLoop.nowMillis();
        if (list == null) {
            mMetrics.counter("hosts.reads.failed").inc();
            LOG.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "platform: the host list could not be read: %s",
                    failure == null ? "no answer" : failure.getMessage());
            mNextAt = now + SHORTEST_PERIOD_MILLIS;
            return;
        }
        mMetrics.counter("hosts.reads").inc();
        long bytes = BYTES_PER_HOST * list.hosts().size();
        mNextAt = now + Math.max(SHORTEST_PERIOD_MILLIS, 1000 * bytes / BYTES_PER_SECOND);
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
