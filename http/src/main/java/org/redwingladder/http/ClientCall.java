package org.redwingladder.http;

import static org.redwingladder.http.NotSentException.Cause;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListeners;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * The state of one call, from the choice of its connection to the end of its response. All steps
 * after the choice of the connection run on the connection's I/O thread.
 */
final class ClientCall implements Call, ClientCallback<ClientExchange> {
    private final AsyncHttpClient mClient;
    private final CallRequest mRequest;
    private final ResponseHandler mHandler;
    private volatile @Nullable XnioIoThread mThread;
    private volatile boolean mSent;
    private boolean mDone;
    private long mIdleNanos;
    private @Nullable PooledConnection mConnection;
    private @Nullable DeadlineTimer mTimer;
    private @Nullable ByteBuffer mUnsentBody;
    private @Nullable RequestBodyStream mBodyStream;
    private Consumer<CallException> mFailureListener;
    private Runnable mEndListener = () -> {};

    ClientCall(AsyncHttpClient client, CallRequest request, ResponseHandler handler) {
        mClient = client;
        mRequest = request;
        mHandler = handler;
        mFailureListener = handler::failed;
    }

    @Override
    public boolean sent() {
        return mSent;
    }

    @Override
    public void cancel() {
        runInThread(
                () -> fail(ResponseLostException.Cause.CANCELLED, Cause.CANCELLED, "cancelled"));
    }

    /** Starts the connect timeout on {@code thread}, which opens a connection for this call. */
    void awaitConnection(XnioIoThread thread) {
        mThread = thread;
        runInThread(() -> startTimer(mRequest.connectDeadlineNanos()));
    }

    void useConnection(PooledConnection connection) {
        mThread = connection.thread();
        runInThread(
                () -> {
                    startTimer(mRequest.deadlineNanos());
                    start(connection);
                });
    }

    void connected(PooledConnection connection) {
        ReadyEvents.runAfter(
                connection.thread(),
                () -> {
                    if (!mDone) {
                        startTimer(mRequest.deadlineNanos());
                    }
                    start(connection);
                });
    }

    void connectFailed(Cause reason, IOException cause) {
        runInThread(
                () ->
                        failWith(
                                new NotSentException(
                                        reason,
                                        "no connection to "
                                                + Addresses.format(mRequest.address())
                                                + ": "
                                                + cause.getMessage())));
    }

    private void runInThread(Runnable step) {
        XnioIoThread thread = mThread;
        if (thread == null) {
            return;
        }
        if (Thread.currentThread() == thread) {
            step.run();
        } else {
            thread.execute(step);
        }
    }

    private void startTimer(long deadlineNanos) {
        if (mTimer != null) {
            mTimer.cancel();
            mTimer = null;
        }
        if (deadlineNanos - System.nanoTime() <= 0) {
            deadlinePassed();
        } else if (!mDone) {
            XnioIoThread thread = mThread;
            if (thread != null) {
                mTimer = DeadlineTimer.start(thread, deadlineNanos, this::deadlinePassed);
            }
        }
    }

    private void deadlinePassed() {
        fail(ResponseLostException.Cause.DEADLINE, Cause.DEADLINE, "deadline exceeded");
    }

    private void start(PooledConnection connection) {
        if (mDone) {
            connection.release();
            return;
        }
        if (connection.endedWhileIdle()) {
            connection.close();
            mClient.connect(this, connection.thread());
            return;
        }
        if (connection.isOpen() && !mRequest.sendCondition().getAsBoolean()) {
            connection.release();
            failWith(new NotSentException(Cause.WITHDRAWN, "the send condition does not hold"));
            return;
        }
        mConnection = connection;
        if (!connection.isOpen()) {
            failWith(new NotSentException(Cause.REFUSED, "the new connection was closed"));
            return;
        }
        HeaderMap headers = mRequest.request().getRequestHeaders();
        if (!headers.contains(Headers.HOST)) {
            headers.put(Headers.HOST, Addresses.format(mRequest.address()));
        }
        mUnsentBody =
                mRequest.body() instanceof RequestBody.Held held
                        ? ByteBuffer.wrap(held.bytes())
                        : null;
        mIdleNanos = connection.idleNanos(System.nanoTime());
        mSent = true;
        connection.source().startResponse(Methods.HEAD.equals(mRequest.request().getMethod()));
        connection.connection().sendRequest(mRequest.request(), this);
    }

    /** Called when the request head was queued; writes the body. */
    @Override
    public void completed(ClientExchange exchange) {
        exchange.setResponseListener(
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientExchange exchanged) {
                        responseStarted(exchanged);
                    }

                    @Override
                    public void failed(IOException cause) {
                        ClientCall.this.failed(cause);
                    }
                });
        if (mUnsentBody != null) {
            writeBody(exchange.getRequestChannel());
        } else if (mRequest.body() instanceof RequestBody.Streamed streamed && !mDone) {
            mBodyStream = new RequestBodyStream(this, streamed, exchange.getRequestChannel());
            mBodyStream.start();
        }
    }

    @Override
    public void failed(IOException cause) {
        connectionLost(cause);
    }

    private void writeBody(StreamSinkChannel sink) {
        try {
            ByteBuffer body = mUnsentBody;
            while (body != null && body.hasRemaining()) {
                if (sink.write(body) == 0) {
                    sink.getWriteSetter().set(this::writeBody);
                    sink.resumeWrites();
                    return;
                }
            }
            mUnsentBody = null;
            sink.suspendWrites();
            sink.shutdownWrites();
            if (!sink.flush()) {
                sink.getWriteSetter()
                        .set(
                                ChannelListeners.flushingChannelListener(
                                        null, (channel, cause) -> connectionLost(cause)));
                sink.resumeWrites();
            }
        } catch (IOException e) {
            connectionLost(e);
        }
    }

    private void responseStarted(ClientExchange exchange) {
        PooledConnection connection = mConnection;
        if (mDone || connection == null) {
            return;
        }
        ClientResponse response = exchange.getResponse();
        if (mBodyStream != null && !mBodyStream.sent()) {
            // The server may answer early; the rest of the body must not reach it in any form.
            mBodyStream.stop();
            connection.closeAfterResponse();
        }
        BodyFraming framing = connection.source().framing();
        String protocolViolation = protocolViolation(response, framing);
        if (protocolViolation != null) {
            failWith(new InvalidResponseException(protocolViolation));
            return;
        }
        new ResponseReader(this, exchange, response, connection, framing).start();
    }

    private @Nullable String protocolViolation(ClientResponse response, BodyFraming framing) {
        String expected = mRequest.requestId();
        HeaderValues ids = response.getResponseHeaders().get(mRequest.requestIdHeader());
        if (expected != null
                && (ids == null || ids.size() != 1 || !expected.equals(ids.getFirst()))) {
            return "response carries another request id: " + ids;
        }
        if (mUnsentBody != null) {
            return "response arrived before the request was sent completely";
        }
        return framing instanceof BodyFraming.UntilClose && !mRequest.closeDelimitedBodyAllowed()
                ? "response body has neither a Content-Length nor chunked encoding"
                : null;
    }

    AsyncHttpClient client() {
        return mClient;
    }

    CallRequest request() {
        return mRequest;
    }

    ResponseHandler handler() {
        return mHandler;
    }

    /** Replaces the listener that is notified if the call fails. */
    void setFailureListener(Consumer<CallException> listener) {
        mFailureListener = listener;
    }

    /** Sets an action that runs when the call completes or fails. */
    void setEndListener(Runnable listener) {
        mEndListener = listener;
    }

    boolean done() {
        return mDone;
    }

    void connectionLost(IOException cause) {
        PooledConnection connection = mConnection;
        InvalidResponseException violation =
                connection == null ? null : connection.source().violation();
        if (violation != null) {
            failWith(violation);
            return;
        }
        failWith(
                new ResponseLostException(
                        ResponseLostException.Cause.CUT_OFF,
                        "connection closed before the response was complete: " + cause.getMessage(),
                        mIdleNanos));
    }

    private void fail(ResponseLostException.Cause lost, Cause notSent, String message) {
        failWith(
                mSent
                        ? new ResponseLostException(lost, message)
                        : new NotSentException(notSent, message));
    }

    /** Fails the call, unless it has completed, and closes its connection. */
    void failWith(CallException cause) {
        if (complete()) {
            PooledConnection connection = mConnection;
            if (connection != null) {
                connection.close();
            }
            mFailureListener.accept(cause);
        }
    }

    /** Marks the call as completed; returns false if it was completed before. */
    boolean complete() {
        if (mDone) {
            return false;
        }
        mDone = true;
        if (mBodyStream != null) {
            mBodyStream.stop();
        }
        mEndListener.run();
        if (mTimer != null) {
            mTimer.cancel();
            mTimer = null;
        }
        return true;
    }
}
