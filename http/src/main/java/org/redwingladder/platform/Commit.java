package org.redwingladder.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.Methods;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.Json;

/** Runs one transaction and finds out what became of it when an answer is lost. */
final class Commit {
    /** Bounds one attempt, so that the deadline leaves room to read a lost answer back. */
    private static final long ATTEMPT_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    private static final long PAUSE_MILLIS = 50;

    private final PlatformClient mClient;
    private final Transaction mTransaction;
    private final byte[] mBody;
    private final long mDeadlineNanos;
    private final CompletableFuture<TransactionResult> mResult = new CompletableFuture<>();
    private boolean mMayHaveRun;

    Commit(PlatformClient client, Transaction transaction, long deadlineNanos) {
        mClient = client;
        mTransaction = transaction;
        mBody = Json.write(transaction);
        mDeadlineNanos = deadlineNanos;
    }

    CompletableFuture<TransactionResult> start() {
        send();
        return mResult;
    }

    private void send() {
        long now = System.nanoTime();
        long attemptDeadline = Math.min(mDeadlineNanos - now, ATTEMPT_NANOS) + now;
        mClient.call(Methods.POST, "/table/transactions", mBody, attemptDeadline)
                .whenComplete(
                        (answer, failure) -> {
                            if (failure == null) {
                                answered(answer);
                            } else {
                                lost(failure);
                            }
                        });
    }

    private void answered(BufferedResponse answer) {
        try {
            if (answer.status() == 200) {
                mResult.complete(committed(PlatformClient.tree(answer).path("versions")));
            } else if (answer.status() == 409) {
                conflict(PlatformClient.parseRows(PlatformClient.tree(answer).path("failed")));
            } else if (answer.status() / 100 == 4 && !mMayHaveRun) {
                mResult.completeExceptionally(
                        new PlatformException("platform: status " + answer.status(), true));
            } else {
                lost(new PlatformException("platform: status " + answer.status(), false));
            }
        } catch (CompletionException e) {
            lost(e.getCause() == null ? e : e.getCause());
        }
    }

    private static TransactionResult committed(JsonNode versions) {
        Map<String, Long> result = new HashMap<>();
        versions.properties()
                .forEach(entry -> result.put(entry.getKey(), entry.getValue().asLong()));
        return new TransactionResult.Committed(result);
    }

    /** Tells a real conflict from the trace of this transaction's own earlier attempt. */
    private void conflict(List<Row> failed) {
        if (!mMayHaveRun || failed.isEmpty() || !failed.stream().allMatch(this::isOwn)) {
            mResult.complete(new TransactionResult.Conflict(failed));
            return;
        }
        Map<String, Long> versions = new HashMap<>();
        failed.forEach(row -> versions.put(row.key(), row.version()));
        mResult.complete(new TransactionResult.Committed(versions));
    }

    private boolean isOwn(Row row) {
        return mTransaction.puts().stream()
                .anyMatch(put -> put.key().equals(row.key()) && put.value().equals(row.value()));
    }

    private void lost(Throwable failure) {
        boolean notRun = failure instanceof PlatformException platform && platform.notRun();
        mMayHaveRun |= !notRun;
        long left = mDeadlineNanos - System.nanoTime();
        if (left > TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS)) {
            CompletableFuture.delayedExecutor(PAUSE_MILLIS, TimeUnit.MILLISECONDS)
                    .execute(this::send);
        } else if (mMayHaveRun) {
            mResult.complete(new TransactionResult.Unknown(String.valueOf(failure.getMessage())));
        } else {
            mResult.completeExceptionally(failure);
        }
    }
}
