package org.redwingladder.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.AnswerLostException;
import org.redwingladder.http.CallException;
import org.redwingladder.steering.BackendSet;
import org.redwingladder.steering.FeederChoice;
import org.redwingladder.steering.MemberTable;
import org.redwingladder.steering.Placement;
import org.redwingladder.steering.Placer;
import org.redwingladder.steering.RestLimit;
import org.redwingladder.steering.RetryShare;
import org.redwingladder.steering.Route;
import org.redwingladder.steering.RouteTable;
import org.redwingladder.steering.SendResult;
import org.redwingladder.steering.ServerEntry;
import org.redwingladder.steering.ServiceTimes;
import org.redwingladder.steering.SplitChooser;
import org.redwingladder.steering.SteeringSettings;

/** Applies what is believed to the decisions that requests need. Runs on the I/O thread. */
final class RequestRouter implements StoreReplica.Receiver {
    /** A round trip between regions; the deployments of today have 40 to 70 ms. */
    private static final double CROSS_REGION_MILLIS = 50;

    /** Time for which the list of hosts that feed cold servers holds; one exchange takes longer. */
    private static final long FEEDERS_NANOS = 200_000_000L;

    private static final double NANOS_PER_MILLI = 1e6;

    private final EntryConfig mConfig;
    private final MemberTable mMembers;
    private final EventLog mLog;
    private final BackendSet mBackends;
    private final ServiceTimes mTimes = new ServiceTimes();
    private final SplitChooser mSplits = new SplitChooser();
    private final Placer mPlacer;
    private final Map<String, RetryShare> mRetries = new HashMap<>();
    private final Map<String, RestLimit> mRests = new HashMap<>();
    private final FeederChoice mFeeders;
    private long mFeedersUntilNanos = System.nanoTime();
    private EntryConfig.Bounds mBounds;
    private @Nullable RouteTable mRoutes;
    private Consumer<SteeringSettings> mOnSettings = settings -> {};
    private long mSettingsVersion;

    RequestRouter(EntryConfig config, MemberTable members, EventLog log) {
        mConfig = config;
        mBounds = config.bounds();
        mMembers = members;
        mLog = log;
        mBackends = BackendSet.create(config.regionOfZone());
        mPlacer =
                Placer.create(
                        config.region(),
                        mBackends,
                        mTimes,
                        (from, to) -> from.equals(to) ? 0 : CROSS_REGION_MILLIS);
        mFeeders = FeederChoice.create(config.host());
        mPlacer.feeders(this::feeds);
    }

    void onSettings(Consumer<SteeringSettings> receiver) {
        mOnSettings = receiver;
    }

    /** Applies changed bounds; budgets start anew. */
    void bounds(EntryConfig.Bounds bounds) {
        if (!bounds.equals(mBounds)) {
            mBounds = bounds;
            mRetries.clear();
        }
    }

    private boolean feeds(String serverId) {
        long now = System.nanoTime();
        if (now - mFeedersUntilNanos >= 0) {
            mFeedersUntilNanos = now + FEEDERS_NANOS;
            mFeeders.hosts(mMembers.alive(now));
        }
        return mFeeders.feeds(serverId);
    }

    @Override
    public void settings(SteeringSettings settings) {
        mRoutes = RouteTable.of(settings);
        mSettingsVersion = settings.version();
        mBackends.services(settings.services());
        mPlacer.routes(settings.routes());
        mOnSettings.accept(settings);
    }

    @Override
    public void evacuated(Set<String> zones) {
        mBackends.evacuated(zones, System.nanoTime());
    }

    @Override
    public void servers(Map<String, ServerEntry> servers) {
        int before = mBackends.size();
        mBackends.servers(servers.values(), System.nanoTime());
        if (before != mBackends.size()) {
            mLog.event("state", "servers").with("count", mBackends.size()).write();
        }
    }

    /** Returns the route table, null until settings are known. */
    @Nullable RouteTable routes() {
        return mRoutes;
    }

    /** Returns the version of the settings in force, 0 before the first ones. */
    long settingsVersion() {
        return mSettingsVersion;
    }

    String service(Route route) {
        return mSplits.next(route);
    }

    Placement place(Placer.Request request) {
        return mPlacer.place(request, System.nanoTime());
    }

    ServiceTimes times() {
        return mTimes;
    }

    /** Learns from the time of an answer that did not wait in the server's queue. */
    void observe(Route route, String service, Placement.Send placement, long sentNanos) {
        if (placement.waitMillis() > 0) {
            return;
        }
        double millis = (System.nanoTime() - sentNanos) / NANOS_PER_MILLI;
        if (placement.warm()) {
            mTimes.warm(service, millis, route.objectiveMillis());
        } else {
            mTimes.cold(service, millis, route.objectiveMillis());
        }
    }

    /** Returns for how long a connection may have rested that carries a request to a service. */
    long restLimitNanos(String service) {
        RestLimit limit = mRests.get(service);
        return limit == null ? Long.MAX_VALUE : limit.nanos(System.nanoTime());
    }

    /** Learns from a send whose connection ended before the answer. */
    void lost(String service, AnswerLostException cause, long sentNanos) {
        if (cause.reason() != AnswerLostException.Cause.CUT_OFF) {
            return;
        }
        long now = System.nanoTime();
        RestLimit limit = mRests.computeIfAbsent(service, s -> RestLimit.create());
        long before = limit.nanos(now);
        limit.lost(cause.restedNanos(), sentNanos, now);
        if (limit.nanos(now) != before) {
            mLog.event("state", "rest-limit")
                    .with("service", service)
                    .with("millis", limit.nanos(now) / 1_000_000)
                    .write();
        }
    }

    /** Returns what the failure of a call says of its server. */
    static SendResult resultOf(CallException cause) {
        if (cause.neverSent()) {
            return SendResult.UNREACHABLE;
        }
        return cause instanceof AnswerLostException lost
                        && lost.reason() == AnswerLostException.Cause.DEADLINE
                ? SendResult.TIMED_OUT
                : SendResult.LOST;
    }

    void countRequest(String service) {
        retries(service).request(System.nanoTime());
    }

    boolean tryRepeat(String service) {
        long now = System.nanoTime();
        return retries(service).tryTake(mMembers.sharers(now), now);
    }

    private RetryShare retries(String service) {
        EntryConfig.Bounds bounds = mBounds;
        return mRetries.computeIfAbsent(
                service,
                s ->
                        RetryShare.create(
                                bounds.retryRatio(),
                                bounds.retryAllowance(),
                                bounds.retryWindowMillis() * 1_000_000L));
    }

    /** Moves the parts of the regions; called once a second. */
    void plan() {
        long now = System.nanoTime();
        mPlacer.plan(mMembers.demand(mConfig.regionOfZone(), now), now);
    }
}
