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
 * Replicates zone summaries by anti-entropy. Once a second, a coordinator compares digests with a
 * coordinator of a random other zone; other members compare with a coordinator of their own zone,
 * less often in larger zones. The first step compares only a hash of all digests, so that an
 * exchange without differences takes a few hundred bytes.
 */
public final class ZoneGossip implements Component {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long COORDINATOR_PERIOD_MILLIS = 1000;
    private static final long MIN_MEMBER_PERIOD_MILLIS = 2000;
    private static final long MEMBER_PERIOD_MILLIS_PER_MEMBER = 100;
    private static final long CALL_TIMEOUT_MILLIS = 2000;
    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final int MAX_FAILED_EXCHANGES = 3;

    private final ClusterState mState;
    private final ControlEventLoop mLoop;
    private final AsyncHttpClient mCaller;
    private final PlatformClient mPlatform;
    private final Supplier<Set<String>> mConfiguredZones;
    private final RandomGenerator mRandom;
    private final MetricRegistry mMetrics;
    private Component.FailureListener mFailures = cause -> {};
    private ControlEventLoop.@Nullable PeriodicTask mPeriodicTask;
    private long mNextExchangeAt;
    private int mFailedExchanges;

    /**
     * Message of one step of an exchange.
     *
     * @param zone the sender's availability zone
     * @param hash the hash of all digests of the sender
     * @param digests the digests of the sender; null in a step that compares only hashes
     * @param summaries the summaries that the receiver lacks
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Message(
            String zone,
            long hash,
            @Nullable Map<String, ZoneDigest> digests,
            @Nullable List<ZoneSummary> summaries) {}

    /**
     * Creates a component that is not started.
     *
     * @param zones returns the zones that are named in the settings
     * @param random selects the zone and the coordinator to call
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
        mConfiguredZones = zones;
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
        mPeriodicTask =
                mLoop.scheduleWithFixedDelay(
                        COORDINATOR_PERIOD_MILLIS / 4, this::exchangeIfDue, failures);
    }

    @Override
    public void stop() {
        if (mPeriodicTask != null) {
            mPeriodicTask.cancel();
        }
    }

    /** Merges the summaries of a message and computes the response. */
    CompletableFuture<Message> receive(Message message) {
        CompletableFuture<Message> answer = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    if (message.summaries() != null) {
                        merge(message.summaries());
                    }
                    answer.complete(responseTo(message));
                },
                answer::completeExceptionally);
        return answer;
    }

    private Message responseTo(Message message) {
        Map<String, ZoneDigest> digests = mState.directory().digests();
        long hash = digests.hashCode();
        if (message.hash() == hash) {
            return new Message(mState.zone(), hash, null, null);
        }
        List<ZoneSummary> newer =
                message.digests() == null
                        ? null
                        : mState.directory().summariesNewerThan(message.digests());
        return new Message(mState.zone(), hash, digests, newer);
    }

    private void exchangeIfDue() {
        long now = mLoop.nowMillis();
        Roster roster = mState.roster();
        if (now < mNextExchangeAt || roster == null) {
            return;
        }
        if (mState.isCoordinator()) {
            mNextExchangeAt = now + COORDINATOR_PERIOD_MILLIS;
            exchangeWithOtherZone();
        } else {
            long period = MEMBER_PERIOD_MILLIS_PER_MEMBER * roster.members().size();
            mNextExchangeAt = now + Math.max(MIN_MEMBER_PERIOD_MILLIS, period);
            exchangeWith(mState.zone());
        }
    }

    private void exchangeWithOtherZone() {
        Set<String> zones = new TreeSet<>(mConfiguredZones.get());
        zones.addAll(mState.knownZones());
        zones.remove(mState.zone());
        if (!zones.isEmpty()) {
            exchangeWith(new ArrayList<>(zones).get(mRandom.nextInt(zones.size())));
        }
    }

    private void exchangeWith(String zone) {
        List<Member> coordinators =
                mState.coordinators(zone).stream()
                        .filter(member -> !member.host().equals(mState.member().host()))
                        .toList();
        if (coordinators.isEmpty()) {
            readRow(zone);
            return;
        }
        Member coordinator = coordinators.get(mRandom.nextInt(coordinators.size()));
        long hash = mState.directory().digests().hashCode();
        call(coordinator, new Message(mState.zone(), hash, null, null))
                .whenComplete(
                        (answer, failure) ->
                                runOnLoop(() -> onHashCompared(coordinator, zone, answer)));
    }

    private void onHashCompared(Member coordinator, String zone, @Nullable Message answer) {
        if (answer == null) {
            mMetrics.counter("zones.exchanges.failed").inc();
            // All known members of the zone may have been replaced, so read its roster row.
            mFailedExchanges++;
            if (mFailedExchanges >= MAX_FAILED_EXCHANGES) {
                mFailedExchanges = 0;
                readRow(zone);
            }
            return;
        }
        mMetrics.counter("zones.exchanges").inc();
        if (answer.digests() == null) {
            return;
        }
        Map<String, ZoneDigest> own = mState.directory().digests();
        List<ZoneSummary> newer = mState.directory().summariesNewerThan(answer.digests());
        call(coordinator, new Message(mState.zone(), own.hashCode(), own, newer))
                .whenComplete(
                        (second, failure) ->
                                runOnLoop(
                                        () -> {
                                            if (second != null && second.summaries() != null) {
                                                merge(second.summaries());
                                            }
                                        }));
    }

    private void merge(List<ZoneSummary> summaries) {
        if (mState.mergeZoneSummaries(summaries)) {
            LOG.atInfo().log("zones: digests are now %s", mState.directory().digests());
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
                                runOnLoop(() -> merge(parse(row.get())));
                            }
                        });
    }

    private static List<ZoneSummary> parse(Row row) {
        try {
            return row.value() == null
                    ? List.of()
                    : List.of(ZoneSummary.of(Json.mapper().treeToValue(row.value(), Roster.class)));
        } catch (JsonProcessingException e) {
            LOG.atWarning().log("zones: malformed row %s: %s", row.key(), e.getOriginalMessage());
            return List.of();
        }
    }

    private CompletableFuture<@Nullable Message> call(Member coordinator, Message message) {
        return mCaller.fetch(
                        CallRequest.of(
                                        Methods.POST,
                                        Addresses.parse(coordinator.peerAddress()),
                                        "/peer/v1/zones",
                                        deadline())
                                .maxBufferedBytes(MAX_RESPONSE_BYTES)
                                .json(message))
                .handle((answer, failure) -> parse(answer));
    }

    private static @Nullable Message parse(@Nullable BufferedResponse answer) {
        if (answer == null || answer.status() != 200) {
            return null;
        }
        try {
            return Json.read(answer.body(), Message.class);
        } catch (JsonException e) {
            LOG.atWarning().log("zones: malformed response from a coordinator: %s", e.getMessage());
            return null;
        }
    }

    private void runOnLoop(Runnable task) {
        mLoop.execute(task, mFailures);
    }

    private static long deadline() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MILLIS);
    }
}
