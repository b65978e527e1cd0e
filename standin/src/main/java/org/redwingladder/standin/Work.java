package org.redwingladder.standin;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Headers;
import org.redwingladder.api.RefusalReason;
import org.xnio.XnioExecutor;

/** Holds one request from its arrival to its end. The fields are guarded by the queue's lock. */
final class Work {
    private final BackendServer mServer;
    private final HttpServerExchange mExchange;
    private final boolean mFirstOnConnection;
    private final String mRequestId;
    private final long mDeadline;
    private final long mStartBy;
    private final long mQueryMillis;
    private final int mQueryBytes;

    private State mState = State.WAITING;
    private long mRunNumber;
    private XnioExecutor.@Nullable Key mTimer;

    /** Names the stages of a request. */
    enum State {
        WAITING,
        RUNNING,
        DONE
    }

    Work(BackendServer server, HttpServerExchange exchange, boolean firstOnConnection) {
        mServer = server;
        mExchange = exchange;
        mFirstOnConnection = firstOnConnection;
        mRequestId = header(exchange, Headers.REQUEST_ID);
        mDeadline = time(exchange, Headers.DEADLINE);
        mStartBy = time(exchange, Headers.START_BY);
        mQueryMillis = number(exchange, "millis");
        mQueryBytes = (int) number(exchange, "bytes");
    }

    static String header(HttpServerExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    HttpServerExchange exchange() {
        return mExchange;
    }

    boolean isFirstOnConnection() {
        return mFirstOnConnection;
    }

    String requestId() {
        return mRequestId;
    }

    String path() {
        return mExchange.getRequestPath();
    }

    /** Returns the deadline in epoch milliseconds, {@code Long.MAX_VALUE} if there is none. */
    long deadline() {
        return mDeadline;
    }

    /** Returns the service time that the query asks for, in milliseconds, or -1. */
    long queryMillis() {
        return mQueryMillis;
    }

    /** Returns the body size that the query asks for, or -1. */
    int queryBytes() {
        return mQueryBytes;
    }

    State state() {
        return mState;
    }

    void setState(State state) {
        mState = state;
    }

    long runNumber() {
        return mRunNumber;
    }

    boolean isExpired(long nowMillis) {
        return nowMillis > mDeadline || nowMillis > mStartBy;
    }

    /** Writes the start into the journal. */
    void journalStart(long nowMillis) {
        mRunNumber =
                mServer.journal()
                        .started(
                                mRequestId,
                                mExchange.getRequestMethod().toString(),
                                path(),
                                nowMillis);
    }

    void journalEnd(String end) {
        mServer.journal().ended(mRunNumber, end, System.currentTimeMillis());
    }

    /** Runs for the service time; called on the I/O thread of the connection. */
    void run() {
        double millis = mServer.serviceMillis(this, System.currentTimeMillis());
        long rounded = Math.max(0, Math.round(millis));
        try {
            mTimer =
                    mExchange
                            .getIoThread()
                            .executeAfter(this::complete, rounded, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The server was closed meanwhile.
            Exchanges.drop(mExchange);
        }
    }

    void cancelTimer() {
        if (mTimer != null) {
            mTimer.remove();
        }
    }

    /** Refuses the work because its time has passed; called on the I/O thread. */
    void refuseExpired() {
        mServer.refuse(mExchange, RefusalReason.DEADLINE_EXPIRED, "The time to start has passed.");
    }

    private void complete() {
        if (!mServer.queue().completed(this)) {
            return;
        }
        try {
            mServer.answer(this);
        } catch (IOException e) {
            Exchanges.drop(mExchange);
        }
    }

    private static long time(HttpServerExchange exchange, String name) {
        String value = header(exchange, name);
        try {
            return value.isEmpty() ? Long.MAX_VALUE : Long.parseLong(value);
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    private static long number(HttpServerExchange exchange, String name) {
        try {
            return Exchanges.queryNumber(exchange, name, -1);
        } catch (IOException e) {
            return -1;
        }
    }
}
