package org.redwingladder.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Refusal;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.Json;
import org.redwingladder.http.StreamedResponse;
import org.redwingladder.once.ClaimRecord;
import org.redwingladder.once.ClaimStateMachine;
import org.redwingladder.once.ClaimStateMachine.Effect;
import org.redwingladder.platform.PlatformClient;
import org.redwingladder.platform.Row;
import org.redwingladder.platform.Transaction;
import org.redwingladder.platform.TransactionResult;

/**
 * Runs requests with an idempotency key. A request is sent only after a claim on its key has been
 * written to the platform; the outcome is stored with the claim and replayed to later requests.
 */
final class IdempotencyKeyRequests {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** How long a claim and its outcome are kept for clients that repeat the request. */
    private static final long CLAIM_LIFETIME_MILLIS = TimeUnit.HOURS.toMillis(24);

    private static final long PLATFORM_RETRY_MILLIS = 1000;

    /**
     * If the platform does not answer within this time, the request is refused as {@code
     * platform-unavailable} instead of waiting until its deadline.
     */
    private static final long CLAIM_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Independent of the request's deadline, which may have almost passed. */
    private static final long OUTCOME_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final PipelineContext mContext;
    private final Ingress mIngress;
    private final PlatformClient mPlatform;
    private final AtomicLong mLastAttempt = new AtomicLong();

    IdempotencyKeyRequests(PipelineContext context, Ingress ingress, PlatformClient platform) {
        mContext = context;
        mIngress = ingress;
        mPlatform = platform;
    }

    /** Claims {@code key} and then runs the request; the response goes to {@code sink}. */
    void start(InboundRequest request, String key, ResponseSink sink) {
        ClusterView.Self self = mContext.view().self();
        ClaimRecord claim =
                new ClaimRecord(
                        request.service().name(),
                        key,
                        self.host(),
                        self.incarnation(),
                        mLastAttempt.incrementAndGet(),
                        mContext.time().millis() + CLAIM_LIFETIME_MILLIS,
                        null);
        Execution execution = new Execution(request, claim, sink);
        execution.advance(() -> execution.mMachine.start());
    }

    /** Executes one request: applies the effects of its state machine and reports the results. */
    private final class Execution implements ResponseSink {
        private final SerialExecutor mExecutor = new SerialExecutor();
        private final InboundRequest mRequest;
        private final ResponseSink mSink;
        private final ClaimStateMachine mMachine;
        private final String mTransactionIdPrefix;
        private int mTransactionCount;
        private @Nullable BufferedResponse mAnswer;
        private String mBackend = "";

        Execution(InboundRequest request, ClaimRecord claim, ResponseSink sink) {
            mRequest = request;
            mSink = sink;
            mMachine = ClaimStateMachine.create(claim, request.deadlineMillis());
            mTransactionIdPrefix =
                    claim.host() + "-" + claim.incarnation() + "-claim-" + claim.attempt();
        }

        void advance(java.util.function.Supplier<List<Effect>> step) {
            mExecutor.execute(() -> step.get().forEach(this::apply));
        }

        private void apply(Effect effect) {
            switch (effect) {
                case Effect.WriteClaim write -> writeClaim(write.claim(), write.expectedVersion());
                case Effect.ReadClaim read -> readClaim(read.rowKey());
                case Effect.Send send ->
                        mIngress.start(mRequest.withStartBy(send.startBy()), this, 0);
                case Effect.Respond answer -> answer(answer);
                case Effect.Refuse refuse -> mSink.refused(refuse.refusal());
                case Effect.WriteOutcome write ->
                        commitInBackground(
                                transaction()
                                        .replace(
                                                write.claim().rowKey(),
                                                write.expectedVersion(),
                                                json(write.claim())));
                case Effect.DeleteClaim delete ->
                        commitInBackground(
                                transaction()
                                        .check(delete.rowKey(), delete.expectedVersion())
                                        .delete(delete.rowKey()));
            }
        }

        private Transaction transaction() {
            return Transaction.of(mTransactionIdPrefix + "-" + ++mTransactionCount);
        }

        private void writeClaim(ClaimRecord claim, long expectedVersion) {
            String key = claim.rowKey();
            mPlatform
                    .commit(
                            transaction().replace(key, expectedVersion, json(claim)),
                            claimDeadline())
                    .whenComplete(
                            (result, failure) ->
                                    advance(
                                            () ->
                                                    failure == null
                                                            ? claimWritten(key, result)
                                                            : platformUnavailable()));
        }

        private List<Effect> claimWritten(String key, TransactionResult result) {
            long now = mContext.time().millis();
            return switch (result) {
                case TransactionResult.Committed committed ->
                        mMachine.claimWritten(committed.versions().getOrDefault(key, 0L), now);
                case TransactionResult.Conflict conflict -> {
                    Row row = conflict.failed().isEmpty() ? null : conflict.failed().get(0);
                    yield row == null
                            ? platformUnavailable()
                            : mMachine.claimConflicted(claim(row), row.version(), now);
                }
                case TransactionResult.Unknown unknown -> mMachine.claimWriteUncertain();
            };
        }

        private void readClaim(String key) {
            mPlatform
                    .row(key, claimDeadline())
                    .whenComplete(
                            (row, failure) ->
                                    advance(
                                            () ->
                                                    failure != null
                                                            ? platformUnavailable()
                                                            : mMachine.claimRead(
                                                                    row.map(this::claim)
                                                                            .orElse(null),
                                                                    row.map(Row::version)
                                                                            .orElse(0L),
                                                                    mContext.time().millis())));
        }

        private long claimDeadline() {
            long now = mContext.time().nanos();
            return now + Math.min(mRequest.deadlineNanos() - now, CLAIM_TIMEOUT_NANOS);
        }

        private List<Effect> platformUnavailable() {
            return mMachine.platformUnavailable(mContext.time().millis() + PLATFORM_RETRY_MILLIS);
        }

        /** Commits a transaction whose result does not affect the response; logs a failure. */
        private void commitInBackground(Transaction transaction) {
            mPlatform
                    .commit(transaction, mContext.time().nanos() + OUTCOME_TIMEOUT_NANOS)
                    .whenComplete(
                            (result, failure) -> {
                                if (!(result instanceof TransactionResult.Committed)) {
                                    LOG.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                                            "once: could not write the outcome of request %s",
                                            mRequest.requestId());
                                }
                            });
        }

        private @Nullable ClaimRecord claim(Row row) {
            JsonNode value = row.value();
            try {
                return value == null ? null : Json.mapper().treeToValue(value, ClaimRecord.class);
            } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                throw new IllegalStateException(
                        "row " + row.key() + " does not contain a claim", e);
            }
        }

        private JsonNode json(ClaimRecord claim) {
            return Json.mapper().valueToTree(claim);
        }

        private void answer(Effect.Respond effect) {
            BufferedResponse received = mAnswer;
            if (received != null) {
                mSink.whole(received, mBackend);
            } else {
                mSink.whole(
                        StoredOutcomes.toAnswer(effect.response()),
                        StoredOutcomes.backend(effect.response()));
            }
        }

        @Override
        public void whole(BufferedResponse answer, String backend) {
            advance(
                    () -> {
                        mAnswer = answer;
                        mBackend = backend;
                        return mMachine.completed(StoredOutcomes.of(answer, backend));
                    });
        }

        @Override
        public void streamed(StreamedResponse answer, String backend, Transfer transfer) {
            // Streamed responses are too large to store: the claim keeps no outcome.
            mSink.streamed(answer, backend, transfer);
        }

        @Override
        public void refused(Refusal refusal) {
            advance(() -> mMachine.refused(refusal));
        }
    }
}
