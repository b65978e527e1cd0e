package org.redwingladder.entry;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.Call;
import org.redwingladder.http.CallException;
import org.redwingladder.http.DeadlineTimer;
import org.redwingladder.http.NotSentException;
import org.redwingladder.http.ReadyEvents;
import org.redwingladder.http.RequestBody;
import org.redwingladder.http.ResponseHandler;
import org.redwingladder.http.ResponseLostException;
import org.redwingladder.http.StreamedResponse;
import org.redwingladder.steering.AttemptTracker;
import org.redwingladder.steering.Backend;
import org.redwingladder.steering.BalancerDecision;
import org.redwingladder.steering.LoadBalancer;
import org.redwingladder.steering.NotRunProof;
import org.redwingladder.steering.Route;
import org.redwingladder.steering.SendResult;
import org.redwingladder.steering.TriedServers;

/**
 * Forwards one client request to a backend server until it is answered, with retries and hedging.
 *
 * <p>A non-idempotent request is retried only if it certainly has not run. Other requests are
 * retried within the route's attempts and the service's retry budget, and hedged if the first
 * attempt takes unusually long.
 */
final class ProxiedRequest {
    /** The clients of a host that stops switch to others within this time. */
    private static final long STOPPING_RETRY_AFTER_MILLIS = 250;

    private final ProxyHandler mHandler;
    private final HttpServerExchange mExchange;
    private final Route mRoute;
    private final String mService;
    private final WireFormat.ClientHeaders mClient;
    private final RequestBody mBody;
    private final ServerRequestBuilder mRequests;
    private final RequestLog mLog;
    private final long mDeadlineNanos;
    private final TriedServers mTried = new TriedServers();
    private final List<Attempt> mPendingAttempts = new ArrayList<>();
    private final AttemptTracker mHistory;
    private boolean mDone;
    private SendResult mLastResult = SendResult.FULL;
    private @Nullable DeadlineTimer mHedgeTimer;
    private @Nullable Attempt mStreaming;

    ProxiedRequest(
            ProxyHandler handler,
            HttpServerExchange exchange,
            ProxyHandler.RoutedRequest request,
            RequestBody body) {
        mHandler = handler;
        mExchange = exchange;
        mRoute = request.route();
        mService = request.service();
        mClient = request.client();
        mLog = new RequestLog(handler, request);
        mHistory = AttemptTracker.create(mRoute);
        mDeadlineNanos = request.deadlineNanos();
        mBody = body;
        mRequests = new ServerRequestBuilder(handler, exchange, request, body);
    }

    /** Sends the first attempt or refuses the request. */
    void start() {
        mHandler.router().countRequest(mService);
        switch (place()) {
            case BalancerDecision.Send send -> {
                send(send);
                scheduleHedge(send);
            }
            case BalancerDecision.Refuse refuse -> {
                mLog.refused(refuse);
                refuse(
                        requireNonNull(mHistory.refuse()),
                        refuse.reason().name(),
                        refuse.retryAfterMillis());
            }
        }
    }

    /** Cancels all attempts because the client has disconnected. */
    void clientDisconnected() {
        if (!mDone) {
            finish();
            if (mStreaming != null) {
                mStreaming.cancel();
            }
            mLog.clientDisconnected();
        }
    }

    /** Fails the request because the process stops. */
    void abort() {
        if (!mDone) {
            NotRunProof proof = mHistory.refuse();
            if (proof == null) {
                fail(504, "the host stops");
            } else {
                mLog.refused("STOPPING", proof);
                refuse(proof, "STOPPING", STOPPING_RETRY_AFTER_MILLIS);
            }
        }
    }

    private BalancerDecision place() {
        return mHandler.router()
                .place(
                        new LoadBalancer.Request(
                                mRoute, mService, mClient.objectKey(), mTried, mDeadlineNanos));
    }

    private void send(BalancerDecision.Send placement) {
        Attempt attempt = new Attempt(placement);
        mTried.add(placement.server().registration());
        mPendingAttempts.add(attempt);
        attempt.send();
    }

    private void scheduleHedge(BalancerDecision.Send first) {
        if (!mHistory.mayHedge() || mDone || mBody instanceof RequestBody.Streamed) {
            return;
        }
        long hedgeNanos = System.nanoTime() + HedgePolicy.delayNanos(first);
        if (hedgeNanos - mDeadlineNanos < 0) {
            mHedgeTimer = DeadlineTimer.start(mExchange.getIoThread(), hedgeNanos, this::hedge);
        }
    }

    private void hedge() {
        if (mDone || mPendingAttempts.size() != 1 || !mHistory.hasAttemptsLeft()) {
            return;
        }
        if (place() instanceof BalancerDecision.Send send
                && HedgePolicy.isWorthwhile(send)
                && mHandler.router().trySpendRetry(mService)) {
            mLog.retried("slow");
            send(send);
        }
    }

    /** Retries or fails the request after an attempt without a response for the client. */
    private void retryOrFail(SendResult result) {
        mLastResult = result;
        if (!mDone && mPendingAttempts.isEmpty()) {
            ReadyEvents.runAfter(mExchange.getIoThread(), () -> retryOrFailNow(result));
        }
    }

    private void retryOrFailNow(SendResult result) {
        if (mDone) {
            return;
        }
        if (result != SendResult.TIMED_OUT
                && mBody.available()
                && mHistory.mayRetry(result, leftNanos())) {
            if (place() instanceof BalancerDecision.Send send && spendRetryBudget(result)) {
                mLog.retried(result.name());
                send(send);
                return;
            }
        }
        failAfter(result);
    }

    private long leftNanos() {
        return mDeadlineNanos - System.nanoTime();
    }

    private boolean spendRetryBudget(SendResult result) {
        return result.neverSent() || mHandler.router().trySpendRetry(mService);
    }

    private void failAfter(SendResult result) {
        NotRunProof proof = mHistory.refuse();
        if (proof != null) {
            mLog.refused(result.name(), proof);
            refuse(
                    proof,
                    result.name(),
                    (long) mHandler.router().times().medianMillis(mService, 200));
        } else if (result == SendResult.TIMED_OUT) {
            fail(504, "no answer in time");
        } else {
            fail(502, "no usable answer: " + result);
        }
    }

    private void refuse(NotRunProof proof, String reason, long retryAfterMillis) {
        finish();
        // Jitter keeps clients that were refused together from retrying together.
        double jitter = 0.75 + 0.75 * ThreadLocalRandom.current().nextDouble();
        mHandler.refuse(mExchange, proof, reason, (long) (retryAfterMillis * jitter));
    }

    private void fail(int status, String reason) {
        finish();
        mLog.failed(status, reason, mLastResult);
        mHandler.respond(mExchange, status, reason + "\n");
    }

    /** Marks the request as done and cancels the attempts in flight. */
    private void finish() {
        mDone = true;
        cancelPendingAttempts();
        mHandler.finished(this);
    }

    private void cancelPendingAttempts() {
        if (mHedgeTimer != null) {
            mHedgeTimer.cancel();
        }
        for (Attempt attempt : new ArrayList<>(mPendingAttempts)) {
            attempt.cancel();
        }
    }

    /** One attempt at one backend server. */
    private final class Attempt implements ResponseHandler {
        private final BalancerDecision.Send mPlacement;
        private final Backend mBackend;
        private final long mSentNanos = System.nanoTime();
        private final AttemptTracker.Attempt mState;
        private @Nullable Call mCall;
        private double mLoad;

        Attempt(BalancerDecision.Send placement) {
            mPlacement = placement;
            mBackend = placement.server();
            mState = mHistory.start(mBackend.registration().id());
        }

        void send() {
            mLoad = mBackend.expectedLoad(mSentNanos);
            mBackend.recordSent(mSentNanos);
            Call call = mHandler.httpClient().send(mRequests.build(mBackend, mSentNanos), this);
            mCall = call;
            if (mState.ended() && mDone) {
                call.cancel();
            }
        }

        void cancel() {
            end(SendResult.CANCELLED);
            if (mCall != null) {
                mCall.cancel();
            }
        }

        private boolean end(SendResult result) {
            if (!mState.end(result)) {
                return false;
            }
            mPendingAttempts.remove(this);
            boolean ejected = mBackend.ejected();
            int ejections = mBackend.ejections();
            mBackend.recordEnd(
                    result,
                    mSentNanos,
                    mPlacement.waitMillis() + mPlacement.serviceMillis(),
                    System.nanoTime());
            mHandler.metrics().count("send." + result);
            mLog.attemptEnded(mBackend, mSentNanos, result);
            if (mBackend.ejections() > ejections) {
                mHandler.router().recordEjection(mBackend, result);
            }
            if (mBackend.ejected() != ejected || mBackend.ejections() > ejections) {
                mLog.ejectionChanged(mBackend, result);
            }
            return true;
        }

        @Override
        public void buffered(BufferedResponse response) {
            SendResult result = classify(response.status(), response.headers());
            if (!end(result)) {
                response.release();
                return;
            }
            // The time of a body that arrives meanwhile depends on the client.
            if (result == SendResult.ANSWERED && mBody instanceof RequestBody.Held) {
                mHandler.router().recordResponseTime(mRoute, mService, mPlacement, mSentNanos);
            }
            if (isForwarded(result)) {
                forward(response);
            } else {
                response.release();
                retryOrFail(result);
            }
        }

        private boolean isForwarded(SendResult result) {
            return result == SendResult.ANSWERED || (result == SendResult.FAILED && !mayImprove());
        }

        /** Returns whether another attempt may get a better response than the server's failure. */
        private boolean mayImprove() {
            return !mPendingAttempts.isEmpty()
                    || (mBody.available()
                            && mHistory.mayRetry(SendResult.FAILED, leftNanos())
                            && place() instanceof BalancerDecision.Send);
        }

        private SendResult classify(int status, HeaderMap headers) {
            WireFormat.ServerHeaders server = mHandler.wire().parseServerHeaders(status, headers);
            if (server.load() != null) {
                mBackend.recordLoad(server.load(), System.nanoTime());
            }
            mHandler.router().recordStatements(mBackend, server, mSentNanos);
            return SendResult.ofResponse(
                    status, server.notRun(), server.misdirected(), server.processed());
        }

        private void forward(BufferedResponse response) {
            if (mDone) {
                response.release();
                return;
            }
            mLog.answered(mPlacement, mLoad, mSentNanos, response.status());
            finish();
            mHandler.forwardResponse(mExchange, response);
        }

        @Override
        public void streamed(StreamedResponse response) {
            SendResult result = classify(response.status(), response.headers());
            // finish() must not cancel the attempt whose response is streamed.
            mPendingAttempts.remove(this);
            if (mDone || mState.ended() || !isForwarded(result)) {
                boolean first = end(result);
                response.discard(new DiscardedTransfer());
                if (first) {
                    retryOrFail(result);
                }
                return;
            }
            cancelPendingAttempts();
            mStreaming = this;
            mHandler.forwardResponse(mExchange, response, new Transfer(response, result));
            mLog.answered(mPlacement, mLoad, mSentNanos, response.status());
        }

        @Override
        public void failed(CallException cause) {
            mLog.callFailed(mBackend, cause);
            SendResult result = RequestRouter.resultOf(cause);
            if (cause instanceof ResponseLostException lost) {
                mHandler.router().recordLostResponse(mService, lost, mSentNanos);
            } else if (cause instanceof NotSentException notSent) {
                mHandler.router().recordNotSent(mBackend, notSent, mSentNanos);
            }
            if (end(result)) {
                retryOrFail(result);
            }
        }

        private final class Transfer implements StreamedResponse.TransferHandler {
            private final StreamedResponse mResponse;
            private final SendResult mResult;

            Transfer(StreamedResponse response, SendResult result) {
                mResponse = response;
                mResult = result;
            }

            @Override
            public void transferred(long bytes) {
                end(mResult);
                finishOnce();
            }

            @Override
            public void failed(CallException cause) {
                mLog.callFailed(mBackend, cause);
                // A client that does not read tells nothing about the server.
                end(mResponse.receiverBlocked() ? SendResult.CANCELLED : SendResult.LOST);
                finishOnce();
            }

            private void finishOnce() {
                if (!mDone) {
                    finish();
                }
            }
        }
    }
}
