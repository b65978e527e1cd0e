package org.redwingladder.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AnswerHandler;
import org.redwingladder.http.AnswerLostException;
import org.redwingladder.http.Call;
import org.redwingladder.http.CallException;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.StreamedAnswer;
import org.redwingladder.http.WholeAnswer;
import org.redwingladder.steering.Backend;
import org.redwingladder.steering.Placement;
import org.redwingladder.steering.Placer;
import org.redwingladder.steering.Route;
import org.redwingladder.steering.SendHistory;
import org.redwingladder.steering.SendResult;
import org.xnio.XnioExecutor;

/**
 * Carries one request from its arrival to its answer.
 *
 * <p>A request that must not repeat is sent again only if it certainly has not run. Other requests
 * are sent again within the route's attempts and the service's budget, also while the first send is
 * still out if that takes unusually long.
 */
final class ProxiedRequest {
    /** A connection within a region opens in milliseconds, across regions within 100 ms. */
    private static final long CONNECT_NANOS = 300_000_000L;

    /** Lets an answer that was ready at the deadline cross the network. */
    private static final long ANSWER_SLACK_NANOS = 80_000_000L;

    /** A send that takes this many times longer than expected is likely to be a straggler. */
    private static final double HEDGE_FACTOR = 2.2;

    /** A hedge goes only to a server that would start it nearly at once. */
    private static final double HEDGE_MAX_WAIT = 0.15;

    /** Answers up to this size are checked whole before the first byte goes to the client. */
    private static final int MAX_WHOLE_BYTES = 4 << 20;

    private static final long MIN_HEDGE_NANOS = 20_000_000L;
    private static final double NANOS_PER_MILLI = 1e6;

    private final ProxyHandler mContext;
    private final HttpServerExchange mExchange;
    private final String mPath;
    private final Route mRoute;
    private final String mService;
    private final WireFormat.ClientHeaders mClient;
    private final byte[] mBody;
    private final RequestLog mLog;
    private final long mUntilNanos;
    private final Set<Backend> mTried = new HashSet<>();
    private final List<Attempt> mOpen = new ArrayList<>();
    private final SendHistory mHistory;
    private boolean mDone;
    private SendResult mLastResult = SendResult.FULL;
    private XnioExecutor.@Nullable Key mHedgeTimer;

    ProxiedRequest(
            ProxyHandler context,
            HttpServerExchange exchange,
            ProxyHandler.RoutedRequest arrival,
            byte[] body) {
        mContext = context;
        mExchange = exchange;
        mPath = arrival.path();
        mRoute = arrival.route();
        mService = arrival.service();
        mClient = arrival.client();
        mLog = new RequestLog(context, arrival);
        mHistory = SendHistory.create(mRoute);
        mUntilNanos = arrival.untilNanos();
        mBody = body;
    }

    void start() {
        mContext.router().countRequest(mService);
        switch (place()) {
            case Placement.Send send -> {
                send(send);
                scheduleHedge(send);
            }
            case Placement.Refuse refuse -> {
                mLog.refused(refuse);
                refuse(refuse.reason().name(), refuse.retryAfterMillis());
            }
        }
    }

    /** Stops all work for a client that has gone. */
    void clientGone() {
        if (!mDone) {
            finish();
            mLog.clientGone();
        }
    }

    /** Ends the request because the process stops. */
    void processEnds() {
        if (!mDone) {
            fail(mHistory.mayHaveRun() ? 504 : 503, "the host stops");
        }
    }

    private Placement place() {
        return mContext.router()
                .place(
                        new Placer.Request(
                                mRoute, mService, mClient.objectKey(), mTried, mUntilNanos));
    }

    private void send(Placement.Send placement) {
        Attempt attempt = new Attempt(placement);
        mTried.add(placement.server());
        mOpen.add(attempt);
        attempt.send();
    }

    private void scheduleHedge(Placement.Send first) {
        if (!mHistory.mayBeDoubled() || mDone) {
            return;
        }
        double millis = HEDGE_FACTOR * (first.waitMillis() + first.serviceMillis());
        long delay = Math.max(MIN_HEDGE_NANOS, (long) (millis * NANOS_PER_MILLI));
        if (System.nanoTime() + delay - mUntilNanos >= 0) {
            return;
        }
        mHedgeTimer =
                mExchange.getIoThread().executeAfter(this::hedge, delay, TimeUnit.NANOSECONDS);
    }

    private void hedge() {
        if (mDone || mOpen.size() != 1 || !mHistory.attemptsLeft()) {
            return;
        }
        if (place() instanceof Placement.Send send
                && send.waitMillis() <= HEDGE_MAX_WAIT * send.serviceMillis()
                && mContext.router().tryRepeat(mService)) {
            mLog.repeated("slow");
            send(send);
        }
    }

    /** Goes on after a send that brought no answer for the client. */
    private void again(SendResult result) {
        mLastResult = result;
        if (mDone || !mOpen.isEmpty()) {
            return;
        }
        if (result != SendResult.TIMED_OUT && mHistory.maySendAgain(result, leftNanos())) {
            if (place() instanceof Placement.Send send && payFor(result)) {
                mLog.repeated(result.name());
                send(send);
                return;
            }
        }
        giveUp(result);
    }

    private long leftNanos() {
        return mUntilNanos - System.nanoTime();
    }

    private boolean payFor(SendResult result) {
        return result == SendResult.UNREACHABLE || mContext.router().tryRepeat(mService);
    }

    private void giveUp(SendResult result) {
        if (!mHistory.mayHaveRun()) {
            mLog.refused(result.name());
            refuse(result.name(), (long) mContext.router().times().millis(mService, 200));
        } else if (result == SendResult.TIMED_OUT) {
            fail(504, "no answer in time");
        } else {
            fail(502, "the answer was lost: " + result);
        }
    }

    private void refuse(String reason, long retryAfterMillis) {
        finish();
        // Clients that are refused together should not come back together.
        double spread = 0.75 + 0.75 * ThreadLocalRandom.current().nextDouble();
        mContext.wire()
                .retryAfter(mExchange.getResponseHeaders(), (long) (retryAfterMillis * spread));
        mContext.respond(mExchange, 503, "not run: " + reason + "\n");
    }

    private void fail(int status, String reason) {
        finish();
        mLog.failed(status, reason, mLastResult);
        mContext.respond(mExchange, status, reason + "\n");
    }

    /** Ends the flow and cancels what is still out. */
    private void finish() {
        mDone = true;
        if (mHedgeTimer != null) {
            mHedgeTimer.remove();
        }
        for (Attempt attempt : new ArrayList<>(mOpen)) {
            attempt.cancel();
        }
        mContext.ended(this);
    }

    /** Carries one send. */
    private final class Attempt implements AnswerHandler {
        private final Placement.Send mPlacement;
        private final Backend mBackend;
        private final long mSentNanos = System.nanoTime();
        private @Nullable Call mCall;
        private boolean mEnded;
        private double mLoad;

        Attempt(Placement.Send placement) {
            mPlacement = placement;
            mBackend = placement.server();
        }

        void send() {
            mLoad = mBackend.expectedLoad(mSentNanos);
            mBackend.sent(mSentNanos);
            CallRequest request =
                    CallRequest.of(
                                    mExchange.getRequestMethod(),
                                    Addresses.parse(mBackend.entry().address()),
                                    mPath,
                                    mUntilNanos + ANSWER_SLACK_NANOS)
                            .connectDeadlineNanos(mSentNanos + CONNECT_NANOS)
                            .mayEndWithConnection()
                            .maxRestNanos(mContext.router().restLimitNanos(mService))
                            .maxWholeBytes(MAX_WHOLE_BYTES);
            long left = Math.max(1, (mUntilNanos - mSentNanos) / 1_000_000);
            mContext.wire()
                    .toServer(
                            mExchange.getRequestHeaders(),
                            request.headers(),
                            mBackend.entry().id(),
                            left);
            if (mBody.length > 0 || mExchange.getRequestHeaders().contains("Content-Length")) {
                request.body(mBody);
            }
            String id = mClient.requestId();
            if (id != null) {
                request.requestId(mContext.wire().requestIdHeader(), id);
            }
            mHistory.sent();
            Call call = mContext.caller().send(request, this);
            mCall = call;
            if (mEnded && mDone) {
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
            if (mEnded) {
                return false;
            }
            mEnded = true;
            mOpen.remove(this);
            boolean ejected = mBackend.ejected();
            int ejections = mBackend.ejections();
            mBackend.ended(
                    result,
                    mSentNanos,
                    mPlacement.waitMillis() + mPlacement.serviceMillis(),
                    System.nanoTime());
            mContext.metrics().count("send." + result);
            mLog.ended(mBackend, mSentNanos, result);
            if (mBackend.ejected() != ejected || mBackend.ejections() > ejections) {
                mLog.useChanged(mBackend, result);
            }
            return true;
        }

        @Override
        public void whole(WholeAnswer answer) {
            SendResult result = judge(answer.status(), answer.headers());
            if (!end(result)) {
                return;
            }
            if (result == SendResult.ANSWERED) {
                mContext.router().observe(mRoute, mService, mPlacement, mSentNanos);
                deliver(answer);
            } else if (result == SendResult.FAILED && !canImprove()) {
                deliver(answer);
            } else {
                again(result);
            }
        }

        /** Returns whether another send may bring a better answer than the server's failure. */
        private boolean canImprove() {
            return !mOpen.isEmpty()
                    || (mHistory.maySendAgain(SendResult.FAILED, leftNanos())
                            && place() instanceof Placement.Send);
        }

        private SendResult judge(int status, HeaderMap headers) {
            WireFormat.ServerHeaders said = mContext.wire().server(status, headers);
            if (said.load() != null) {
                mBackend.report(said.load(), System.nanoTime());
            }
            if (said.wrongServer() || said.notRun()) {
                mHistory.turnedAway();
                return said.wrongServer() ? SendResult.MISDIRECTED : SendResult.FULL;
            }
            if (!said.genuine()) {
                return SendResult.LOST;
            }
            return status >= 500 ? SendResult.FAILED : SendResult.ANSWERED;
        }

        private void deliver(WholeAnswer answer) {
            if (mDone) {
                return;
            }
            mLog.answered(mPlacement, mLoad, mSentNanos, answer.status());
            finish();
            mContext.deliver(mExchange, answer);
        }

        @Override
        public void streamed(StreamedAnswer answer) {
            SendResult result = judge(answer.status(), answer.headers());
            if (mDone || mEnded || result != SendResult.ANSWERED) {
                answer.discard(new Transfer());
                if (end(result)) {
                    again(result);
                }
                return;
            }
            // The answer goes to the client from here on; other sends are of no use.
            mOpen.remove(this);
            mContext.deliver(mExchange, answer, new Transfer());
            mLog.answered(mPlacement, mLoad, mSentNanos, answer.status());
        }

        @Override
        public void failed(CallException cause) {
            SendResult result = RequestRouter.resultOf(cause);
            if (cause.neverSent()) {
                mHistory.neverSent();
            } else if (cause instanceof AnswerLostException lost) {
                mContext.router().lost(mService, lost, mSentNanos);
            }
            if (end(result)) {
                again(result);
            }
        }

        private final class Transfer implements StreamedAnswer.TransferHandler {
            @Override
            public void transferred(long bytes) {
                end(SendResult.ANSWERED);
                finishOnce();
            }

            @Override
            public void failed(CallException cause) {
                end(SendResult.LOST);
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
