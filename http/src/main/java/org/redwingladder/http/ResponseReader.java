package org.redwingladder.http;

import io.undertow.client.ClientExchange;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.RejectedExecutionException;
import org.xnio.channels.StreamSourceChannel;

/** Reads the body of one answer, whole if it fits the limit, and hands it to the call's handler. */
final class ResponseReader {
    /** Stands for a body whose length follows from its chunks. */
    static final long CHUNKED = -1;

    /** Stands for a body that only the end of the connection delimits. */
    static final long UNDELIMITED = -2;

    private static final byte[] EMPTY = new byte[0];
    private static final int FIRST_CHUNKED_BYTES = 4096;

    private final ClientCall mCall;
    private final ClientResponse mResponse;
    private final PooledConnection mConnection;
    private final StreamSourceChannel mSource;
    private final long mLength;
    private final int mLimit;
    private byte[] mBody = EMPTY;
    private int mRead;

    ResponseReader(
            ClientCall call,
            ClientExchange exchange,
            ClientResponse response,
            PooledConnection connection,
            long length) {
        mCall = call;
        mResponse = response;
        mConnection = connection;
        mSource = exchange.getResponseChannel();
        mLength = length;
        mLimit = call.request().maxBufferedBytes();
    }

    void start() {
        if (mLength > mLimit) {
            stream();
            return;
        }
        if (mLength != 0) {
            mBody = new byte[lengthKnown() ? (int) mLength : FIRST_CHUNKED_BYTES];
        }
        read(mSource);
    }

    private void read(StreamSourceChannel source) {
        try {
            while (!mCall.done()) {
                int count = source.read(space());
                if (count == 0) {
                    source.getReadSetter().set(this::read);
                    source.resumeReads();
                    return;
                }
                if (count < 0) {
                    ended();
                    return;
                }
                mRead += count;
                if (mRead > mLimit) {
                    source.suspendReads();
                    stream();
                    return;
                }
            }
        } catch (IOException e) {
            mCall.cutOff(e);
        }
    }

    private boolean lengthKnown() {
        return mLength >= 0;
    }

    /** Returns room for at least one byte, so that a read can always report the end. */
    private ByteBuffer space() {
        if (lengthKnown() && mRead == mLength) {
            return ByteBuffer.allocate(1);
        }
        if (mRead == mBody.length) {
            mBody = Arrays.copyOf(mBody, (int) Math.min(mLimit + 1L, mBody.length * 2L));
        }
        return ByteBuffer.wrap(mBody, mRead, mBody.length - mRead);
    }

    private void ended() {
        if (lengthKnown() && mRead != mLength) {
            mCall.cutOff(new IOException("read " + mRead + " of " + mLength + " bytes"));
            return;
        }
        byte[] body = mRead == mBody.length ? mBody : Arrays.copyOf(mBody, mRead);
        BufferedResponse answer =
                new BufferedResponse(
                        mResponse.getResponseCode(), mResponse.getResponseHeaders(), body);
        afterSurplusCheck(
                () -> {
                    if (mCall.end()) {
                        mConnection.release(mResponse.getResponseHeaders());
                        mCall.handler().buffered(answer);
                    }
                });
    }

    /**
     * Runs {@code step} unless bytes follow the answer. The client connection closes itself when it
     * finds bytes that were read together with the answer's end; it does so in a task that was
     * queued before this one.
     */
    void afterSurplusCheck(Runnable step) {
        if (closes()) {
            mConnection.close();
            step.run();
            return;
        }
        try {
            mConnection.thread().execute(() -> finishUnlessClosed(step));
        } catch (RejectedExecutionException e) {
            // The caller is being closed; whether bytes follow can no longer be seen.
            mCall.finish(new InvalidResponseException("the caller was closed at the answer's end"));
        }
    }

    private void finishUnlessClosed(Runnable step) {
        if (mConnection.isOpen()) {
            step.run();
        } else {
            mCall.finish(new InvalidResponseException("bytes follow the answer's end"));
        }
    }

    private boolean closes() {
        HeaderMap headers = mResponse.getResponseHeaders();
        String connection = headers.getFirst(Headers.CONNECTION);
        return mLength == UNDELIMITED
                || (connection != null && connection.equalsIgnoreCase("close"))
                || Protocols.HTTP_1_0.equals(mResponse.getProtocol());
    }

    private void stream() {
        ResponseStream stream = new ResponseStream(this, mCall, mSource);
        mCall.onFailure(stream::callFailed);
        mCall.handler().streamed(stream);
    }

    /** Puts the bytes read so far into {@code buffer}, which is large enough for them. */
    ByteBuffer readSoFar() {
        return ByteBuffer.wrap(mBody, 0, mRead);
    }

    ClientResponse response() {
        return mResponse;
    }

    PooledConnection connection() {
        return mConnection;
    }

    long length() {
        return mLength;
    }

    PooledByteBuffer allocate() {
        return mCall.caller().buffers().allocate();
    }
}
