package org.redwingladder.standin;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Headers;
import org.redwingladder.api.RefusalReason;
import org.xnio.XnioExecutor;

/** A request from its arrival to its completion. The state is guarded by the queue's lock. */
final class BackendRequest {
    private final BackendServer mServer;
    private final HttpServerExchange mExchange;
    private final boolean mFirstOnConnection;
    private final String mRequestId;
    private final long mDeadline;
    private final long mStartBy;
    private final long mRequestedMillis;
    private final int mRequestedBytes;

    private State mState = State.QUEUED;
    private long mRunNumber;
    private XnioExecutor.@Nullable Key mTimer;

    /** The states of a request. */
    enum State {
        QUEUED,
        RUNNING,
        DONE
    }

    BackendRequest(BackendServer server, HttpServerExchange exchange, boolean firstOnConnection) {
        mServer = server;
        mExchange = exchange;
        mFirstOnConnection = firstOnConnection;
        mRequestId = header(exchange, Headers.REQUEST_ID);
        mDeadline = timeHeader(exchange, Headers.DEADLINE);
        mStartBy = timeHeader(exchange, Headers.START_BY);
        mRequestedMillis = numberParameter(exchange, "millis");
        mRequestedBytes = (int) numberParameter(exchange, "bytes");
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

    /** Returns the service time requested by the query string in milliseconds, or -1 if absent. */
    long requestedMillis() {
        return mRequestedMillis;
    }

    /** Returns the response size requested by the query string in bytes, or -1 if absent. */
    int requestedBytes() {
        return mRequestedBytes;
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

    /** Records the start in the journal. */
    void journalStart(long nowMillis) {
        mRunNumber =
                mServer.journal()
                        .recordStart(
                                mRequestId,
                                mExchange.getRequestMethod().toString(),
                                path(),
                                nowMillis);
    }

    void journalEnd(String end) {
        mServer.journal().recordEnd(mRunNumber, end, System.currentTimeMillis());
    }

    /** Completes the request after its service time; called on the I/O thread of the connection. */
    void run() {
        double millis = mServer.serviceMillis(this, System.currentTimeMillis());
        long rounded = Math.max(0, Math.round(millis));
        try {
            mTimer =
                    mExchange
                            .getIoThread()
                            .executeAfter(this::complete, rounded, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The server has been closed in the meantime.
            Exchanges.closeConnection(mExchange);
        }
    }

    void cancelTimer() {
        if (mTimer != null) {
            mTimer.remove();
        }
    }

    /**
     * Refuses the request because its deadline or start-by time has passed; called on the I/O
     * thread.
     */
    void refuseExpired() {
        mServer.refuse(
                mExchange,
                RefusalReason.DEADLINE_EXPIRED,
                "The deadline or start-by time has passed.");
    }

    private void complete() {
        if (!mServer.queue().completed(this)) {
            return;
        }
        try {
            mServer.respond(this);
        } catch (IOException e) {
            Exchanges.closeConnection(mExchange);
        }
    }

    private static long timeHeader(HttpServerExchange exchange, String name) {
        String value = header(exchange, name);
        try {
            return value.isEmpty() ? Long.MAX_VALUE : Long.parseLong(value);
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    private static long numberParameter(HttpServerExchange exchange, String name) {
        try {
            return Exchanges.queryNumber(exchange, name, -1);
        } catch (IOException e) {
            return -1;
        }
    }
}
