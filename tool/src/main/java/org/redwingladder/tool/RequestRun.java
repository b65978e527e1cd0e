package org.redwingladder.tool;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.EntryHost;
import org.redwingladder.api.LookupResponse;
import org.redwingladder.api.Refusal;

/** Holds the state of one piece of work. One step runs at a time. */
final class RequestRun {
    private final RequestRunner mRunner;
    private final Work mWork;
    private final CompletableFuture<RequestResult> mResult = new CompletableFuture<>();
    private final List<RequestResult.Attempt> mAttempts = new ArrayList<>();
    private final Set<String> mTried = new HashSet<>();
    private @Nullable LookupResponse mAnswer;
    private @Nullable String mToken;
    private @Nullable String mTokenAddress;
    private boolean mMayHaveRun;
    private int mRounds;

    RequestRun(RequestRunner runner, Work work) {
        mRunner = runner;
        mWork = work;
    }

    CompletableFuture<RequestResult> start() {
        step();
        return mResult;
    }

    private void step() {
        if (mRunner.now() >= mWork.deadlineMillis()) {
            end("the deadline has passed");
        } else if (mRounds++ >= mRunner.maxAttempts() * 3) {
            end("no entry host took the request");
        } else {
            mRunner.cache().answer(mWork).thenAccept(this::lookedUp);
        }
    }

    private void lookedUp(LookupCache.Outcome outcome) {
        LookupResponse answer = outcome.answer();
        if (answer == null) {
            Refusal refusal = outcome.refusal();
            end(refusal == null ? "no entry host answers look-ups" : refusal.message());
            return;
        }
        if (answer != mAnswer) {
            mAnswer = answer;
            mTried.clear();
        }
        String address = nextAddress(answer);
        if (address == null) {
            mRunner.cache().forget(mWork, answer);
            step();
        } else if (mWork.once() && mToken == null) {
            takeToken(address);
        } else {
            send(address);
        }
    }

    private @Nullable String nextAddress(LookupResponse answer) {
        if (mToken != null && mTokenAddress != null && mTried.add(mTokenAddress)) {
            return mTokenAddress;
        }
        for (EntryHost host : answer.entryHosts()) {
            if (mTried.add(host.address())) {
                return host.address();
            }
        }
        return null;
    }

    /** Asks the entry host that is to take the work for a token, so that nobody has to forward. */
    private void takeToken(String address) {
        mRunner.transport()
                .lookup(address, mWork.service(), mWork.block(), true, mWork.deadlineMillis())
                .thenAccept(
                        result -> {
                            if (result instanceof LookupResult.Found found
                                    && found.answer().token() != null) {
                                mToken = requireNonNull(found.answer().token());
                                mTokenAddress = address;
                                send(address);
                            } else {
                                step();
                            }
                        });
    }

    private void send(String address) {
        String requestId = mWork.attemptId(mAttempts.size() + 1);
        long sentAt = mRunner.now();
        mRunner.transport()
                .send(address, mWork, requestId, mToken)
                .thenAccept(
                        result -> {
                            mAttempts.add(
                                    new RequestResult.Attempt(
                                            requestId, address, sentAt, mRunner.now(), result));
                            attempted(result);
                        });
    }

    private void attempted(AttemptResult result) {
        RetryRules.Next next = RetryRules.after(mWork, result, mMayHaveRun, mRunner.now());
        mMayHaveRun |= mayHaveRun(result);
        switch (next) {
            case RetryRules.Done done -> finish(RequestResult.End.ANSWERED, result.reason());
            case RetryRules.Refused refused -> finish(RequestResult.End.REFUSED, text(result));
            case RetryRules.Unknown unknown -> finish(RequestResult.End.UNKNOWN, text(result));
            case RetryRules.Again again -> again(again, result);
        }
    }

    private void again(RetryRules.Again again, AttemptResult result) {
        if (mAttempts.size() >= mRunner.maxAttempts()) {
            end(text(result));
            return;
        }
        if (!again.sameToken()) {
            mToken = null;
            mTokenAddress = null;
        }
        long wait = again.notBefore() - mRunner.now();
        if (wait <= 0) {
            step();
        } else {
            mRunner.later(
                    wait,
                    () -> {
                        mTried.clear();
                        step();
                    });
        }
    }

    private static boolean mayHaveRun(AttemptResult result) {
        return switch (result) {
            case AttemptResult.Whole whole -> true;
            case AttemptResult.Lost lost -> true;
            case AttemptResult.Wrong wrong -> true;
            case AttemptResult.NeverSent neverSent -> false;
            case AttemptResult.Refused refused ->
                    refused.refusal().outcome() == org.redwingladder.api.Outcome.UNKNOWN;
        };
    }

    private static String text(AttemptResult result) {
        return switch (result) {
            case AttemptResult.Refused refused ->
                    refused.reason() + ": " + refused.refusal().message();
            case AttemptResult.Lost lost -> lost.reason() + ": " + lost.detail();
            default -> result.reason();
        };
    }

    private void end(String message) {
        boolean unknown = RetryRules.ended(mMayHaveRun) instanceof RetryRules.Unknown;
        finish(unknown ? RequestResult.End.UNKNOWN : RequestResult.End.REFUSED, message);
    }

    private void finish(RequestResult.End end, String message) {
        mResult.complete(new RequestResult(mWork, end, mAttempts, message));
    }
}
