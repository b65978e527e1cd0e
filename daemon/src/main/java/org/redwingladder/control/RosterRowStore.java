package org.redwingladder.control;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Json;
import org.redwingladder.membership.MembershipEffect;
import org.redwingladder.membership.MembershipEvent;
import org.redwingladder.membership.Roster;
import org.redwingladder.membership.VersionedRoster;
import org.redwingladder.platform.PlatformClient;
import org.redwingladder.platform.Row;
import org.redwingladder.platform.Transaction;
import org.redwingladder.platform.TransactionResult;

/** Reads and writes the roster row of one zone in the platform's table. */
final class RosterRowStore {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long PLATFORM_TIMEOUT_MILLIS = 3000;

    private final PlatformClient mPlatform;
    private final String mKey;
    private final MetricRegistry mMetrics;

    RosterRowStore(PlatformClient platform, String zone, MetricRegistry metrics) {
        mPlatform = platform;
        mKey = Roster.key(zone);
        mMetrics = metrics;
    }

    /** Reads the row and passes the event with the result to {@code result}, on any thread. */
    void read(Consumer<MembershipEvent> result) {
        mMetrics.counter("roster.reads").inc();
        mPlatform
                .row(mKey, platformDeadline())
                .whenComplete(
                        (row, failure) -> {
                            if (failure != null) {
                                mMetrics.counter("roster.reads.failed").inc();
                                result.accept(new MembershipEvent.ReadFailed());
                            } else {
                                result.accept(
                                        new MembershipEvent.RowRead(
                                                row.map(this::parse).orElse(null)));
                            }
                        });
    }

    /**
     * Replaces the row if it still has the expected version, and passes the event with the result
     * to {@code result}, on any thread.
     */
    void write(MembershipEffect.WriteRow write, Consumer<MembershipEvent> result) {
        mMetrics.counter("roster.writes").inc();
        Transaction transaction =
                Transaction.of(UUID.randomUUID().toString())
                        .replace(mKey, write.version(), Json.mapper().valueToTree(write.roster()));
        mPlatform
                .commit(transaction, platformDeadline())
                .whenComplete(
                        (outcome, failure) -> {
                            if (failure != null) {
                                LOG.atWarning().atMostEvery(5, TimeUnit.SECONDS).log(
                                        "roster: failed to write the row: %s",
                                        failure.getMessage());
                                result.accept(new MembershipEvent.WriteOutcomeUnknown());
                            } else {
                                result.accept(writeEvent(outcome, write));
                            }
                        });
    }

    private MembershipEvent writeEvent(TransactionResult result, MembershipEffect.WriteRow write) {
        return switch (result) {
            case TransactionResult.Committed committed ->
                    committed.versions().containsKey(mKey)
                            ? new MembershipEvent.WriteSucceeded(
                                    new VersionedRoster(
                                            committed.versions().get(mKey), write.roster()))
                            : new MembershipEvent.WriteOutcomeUnknown();
            case TransactionResult.Conflict conflict -> {
                mMetrics.counter("roster.conflicts").inc();
                VersionedRoster found = null;
                for (Row row : conflict.failed()) {
                    found = row.key().equals(mKey) ? parse(row) : found;
                }
                yield found == null
                        ? new MembershipEvent.WriteOutcomeUnknown()
                        : new MembershipEvent.WriteConflict(found);
            }
            case TransactionResult.Unknown unknown -> new MembershipEvent.WriteOutcomeUnknown();
        };
    }

    private @Nullable VersionedRoster parse(Row row) {
        if (row.value() == null) {
            return null;
        }
        try {
            Roster roster = Json.mapper().treeToValue(row.value(), Roster.class);
            return new VersionedRoster(row.version(), roster);
        } catch (JsonProcessingException e) {
            // A later release may have written the row, or it is damaged: do not overwrite it.
            throw new IllegalStateException("malformed roster row " + row.key(), e);
        }
    }

    private static long platformDeadline() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PLATFORM_TIMEOUT_MILLIS);
    }
}
