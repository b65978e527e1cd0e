package org.redwingladder.control;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import io.undertow.util.Methods;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.Roster;
import org.redwingladder.membership.ZoneDigest;
import org.redwingladder.membership.ZoneSummary;
import org.redwingladder.platform.PlatformClient;
import org.redwingladder.platform.Row;
import org.redwingladder.supervisor.Component;

/**
 * Exchanges zone summaries. A steward asks a steward of one random zone a second; other members ask
 * a steward of their own zone. First only a hash of all digests is compared, so that an exchange
 * without news takes a few hundred bytes.
 */
public final class ZoneGossip implements Component {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long STEWARD_PERIOD_MILLIS = 1000;
    private static final long MEMBER_FLOOR_MILLIS = 2000;
    private static final long MEMBER_STEP_MILLIS = 100;
    private static final long CALL_DEADLINE_MILLIS = 2000;
    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final int MAX_UNREACHED = 3;

    private final ClusterState mState;
    private final ControlEventLoop mLoop;
    private final AsyncHttpClient mCaller;
    private final PlatformClient mPlatform;
    private final Supplier<Set<String>> mZones;
    private final RandomGenerator mRandom;
    private final MetricRegistry mMetrics;
    private Component.FailureListener mFailures = cause -> {};
    private ControlEventLoop.@Nullable PeriodicTask mTicks;
    private long mNextAt;
    private int mUnreached;

    /**
     * Carries one step of an exchange.
     *
     * @param zone the sender's availability zone
     * @param hash the hash of all digests of the sender
     * @param digests the digests of the sender, null in a step that only compares hashes
     * @param summaries the summaries that the receiver lacks
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Message(
            String zone,
            long hash,
            @Nullable Map<String, ZoneDigest> digests,
            @Nullable List<ZoneSummary> summaries) {}

    /**
     * Creates an exchange.
     *
     * @param zones gives the zones that the settings name
     * @param random chooses the zone and the steward to ask
     */
    public ZoneGossip(
            ClusterState state,
            ControlEventLoop loop,
            AsyncHttpClient caller,
            PlatformClient platform,
            Supplier<Set<String>> zones,
            RandomGenerator random,
            MetricRegistry metrics) {
        mState = state;
        mLoop = loop;
        mCaller = caller;
        mPlatform = platform;
        mZones = zones;
        mRandom = random;
        mMetrics = metrics;
    }

    @Override
    public String name() {
        return "zones";
    }

    @Override
    public void start(Component.FailureListener failures) {
        mFailures = failures;
        mTicks = mLoop.scheduleWithFixedDelay(STEWARD_PERIOD_MILLIS / 4, this::tick, failures);
    }

    @Override
    public void stop() {
        if (mTicks != null) {
            mTicks.cancel();
        }
    }

    /** Answers a step of an exchange. */
    CompletableFuture<Message> receive(Message message) {
        CompletableFuture<Message> answer = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    if (message.summaries() != null) {
                        merge(message.summaries());
                    }
                    answer.complete(answerTo(message));
                },
                answer::completeExceptionally);
        return answer;
    }

    private Message answerTo(Message message) {
        Map<String, ZoneDigest> digests = mState.directory().digests();
        long hash = digests.hashCode();
        if (message.hash() == hash) {
            return new Message(mState.zone(), hash, null, null);
        }
        List<ZoneSummary> lacking =
                message.digests() == null
                        ? null
                        : mState.directory().summariesNewerThan(message.digests());
        return new Message(mState.zone(), hash, digests, lacking);
    }

    private void tick() {
        long now = mLoop.nowMillis();
        Roster roster = mState.roster();
        if (now < mNextAt || roster == null) {
            return;
        }
        if (mState.isCoordinator()) {
            mNextAt = now + STEWARD_PERIOD_MILLIS;
            askOtherZone();
        } else {
            long step = MEMBER_STEP_MILLIS * roster.members().size();
            mNextAt = now + Math.max(MEMBER_FLOOR_MILLIS, step);
            ask(mState.zone());
        }
    }

    private void askOtherZone() {
        Set<String> zones = new TreeSet<>(mZones.get());
        zones.addAll(mState.knownZones());
        zones.remove(mState.zone());
        if (!zones.isEmpty()) {
            ask(new ArrayList<>(zones).get(mRandom.nextInt(zones.size())));
        }
    }

    private void ask(String zone) {
        List<Member> stewards =
                mState.coordinators(zone).stream()
                        .filter(member -> !member.host().equals(mState.member().host()))
                        .toList();
        if (stewards.isEmpty()) {
            readRow(zone);
            return;
        }
        Member steward = stewards.get(mRandom.nextInt(stewards.size()));
        long hash = mState.directory().digests().hashCode();
        call(steward, new Message(mState.zone(), hash, null, null))
                .whenComplete((answer, failure) -> later(() -> compared(steward, zone, answer)));
    }

    private void compared(Member steward, String zone, @Nullable Message answer) {
        if (answer == null) {
            mMetrics.counter("zones.exchanges.failed").inc();
            // All known members of the zone may have been replaced since.
            mUnreached++;
            if (mUnreached >= MAX_UNREACHED) {
                mUnreached = 0;
                readRow(zone);
            }
            return;
        }
        mMetrics.counter("zones.exchanges").inc();
        if (answer.digests() == null) {
            return;
        }
        Map<String, ZoneDigest> own = mState.directory().digests();
        List<ZoneSummary> lacking = mState.directory().summariesNewerThan(answer.digests());
        call(steward, new Message(mState.zone(), own.hashCode(), own, lacking))
                .whenComplete(
                        (second, failure) ->
                                later(
                                        () -> {
                                            if (second != null && second.summaries() != null) {
                                                merge(second.summaries());
                                            }
                                        }));
    }

    private void merge(List<ZoneSummary> summaries) {
        if (mState.mergeZoneSummaries(summaries)) {
            LOG.atInfo().log("zones: now knows %s", mState.directory().digests());
        }
    }

    private void readRow(String zone) {
        if (zone.equals(mState.zone())) {
            return;
        }
        mMetrics.counter("zones.reads").inc();
        mPlatform
                .row(Roster.key(zone), deadline())
                .whenComplete(
                        (row, failure) -> {
                            if (failure == null && row.isPresent()) {
                                later(() -> merge(parse(row.get())));
                            }
                        });
    }

    private static List<ZoneSummary> parse(Row row) {
        try {
            return row.value() == null
                    ? List.of()
                    : List.of(ZoneSummary.of(Json.mapper().treeToValue(row.value(), Roster.class)));
        } catch (JsonProcessingException e) {
            LOG.atWarning().log("zones: unreadable row %s: %s", row.key(), e.getOriginalMessage());
            return List.of();
        }
    }

    private CompletableFuture<@Nullable Message> call(Member steward, Message message) {
        return mCaller.fetch(
                        CallRequest.of(
                                        Methods.POST,
                                        Addresses.parse(steward.peerAddress()),
                                        "/peer/v1/zones",
                                        deadline())
                                .maxBufferedBytes(MAX_ANSWER_BYTES)
                                .json(message))
                .handle((answer, failure) -> read(answer));
    }

    private static @Nullable Message read(@Nullable BufferedResponse answer) {
        if (answer == null || answer.status() != 200) {
            return null;
        }
        try {
            return Json.read(answer.body(), Message.class);
        } catch (JsonException e) {
            LOG.atWarning().log("zones: unreadable answer of a steward: %s", e.getMessage());
            return null;
        }
    }

    private void later(Runnable task) {
        mLoop.execute(task, mFailures);
    }

    private static long deadline() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_DEADLINE_MILLIS);
    }
}
