package org.redwingladder.http;

import io.undertow.client.ClientExchange;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.RejectedExecutionException;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of one response. A body within the buffer limit is passed to the call's handler as
 * a {@link BufferedResponse}, a larger one as a {@link StreamedResponse}.
 */
final class ResponseReader {
    private static final long UNKNOWN_LENGTH = -1;
    private static final byte[] EMPTY = new byte[0];

    /** Below the bytes that may arrive before those of the body are recorded. */
    private static final int MAX_READ_BYTES = BoundedSourceConduit.MAX_OVERHEAD_BYTES / 2;

    private static final int INITIAL_CHUNKED_BUFFER_BYTES = 4096;

    private final ClientCall mCall;
    private final ClientResponse mResponse;
    private final PooledConnection mConnection;
    private final StreamSourceChannel mSource;
    private final BodyFraming mFraming;
    private final long mLength;
    private final int mMaxBufferedBytes;
    private byte[] mBody = EMPTY;
    private int mRead;
    private final BufferBudget.Reservation mReservation;
    private final boolean mReleasedByReceiver;
    private final int mUnreservedBytes;

    ResponseReader(
            ClientCall call,
            ClientExchange exchange,
            ClientResponse response,
            PooledConnection connection,
            BodyFraming framing) {
        mCall = call;
        mResponse = response;
        mConnection = connection;
        mSource = exchange.getResponseChannel();
        mFraming = framing;
        mLength = framing instanceof BodyFraming.Fixed fixed ? fixed.bytes() : UNKNOWN_LENGTH;
        mMaxBufferedBytes = call.request().maxBufferedBytes();
        BufferBudget budget = call.request().bodyBudget();
        mReleasedByReceiver = budget != null;
        mUnreservedBytes = budget == null ? HttpClientLimits.DEFAULT_MAX_BUFFERED_BYTES : 0;
        mReservation = (budget == null ? call.client().bufferBudget() : budget).open();
    }

    void start() {
        mCall.setEndListener(mReservation::release);
        int size =
                lengthKnown()
                        ? (int) Math.min(mLength, Integer.MAX_VALUE)
                        : INITIAL_CHUNKED_BUFFER_BYTES;
        if (mLength > mMaxBufferedBytes || !tryReserve(size)) {
            stream();
            return;
        }
        if (mLength != 0) {
            mBody = new byte[size];
        }
        read(mSource);
    }

    private boolean tryReserve(int size) {
        return mReservation.tryGrowTo(size - mUnreservedBytes);
    }

    private void read(StreamSourceChannel source) {
        try {
            while (!mCall.done()) {
                if (isBufferFull() && !tryGrow()) {
                    source.suspendReads();
                    stream();
                    return;
                }
                int count = source.read(readBuffer());
                if (count == 0) {
                    source.getReadSetter().set(this::read);
                    source.resumeReads();
                    return;
                }
                if (count < 0) {
                    endOfBody();
                    return;
                }
                mRead += count;
                mConnection.source().bodyBytesRead(count);
                if (mRead > mMaxBufferedBytes) {
                    source.suspendReads();
                    stream();
                    return;
                }
            }
        } catch (IOException e) {
            mCall.connectionLost(e);
        }
    }

    private boolean isBufferFull() {
        return !lengthKnown() && mRead == mBody.length;
    }

    /** Enlarges the buffer; returns false if all calls together buffer too much. */
    private boolean tryGrow() {
        int size = (int) Math.min(mMaxBufferedBytes + 1L, mBody.length * 2L);
        if (!tryReserve(size)) {
            return false;
        }
        mBody = Arrays.copyOf(mBody, size);
        return true;
    }

    private boolean lengthKnown() {
        return mLength >= 0;
    }

    /**
     * Returns a buffer with room for at least one byte, so that a read can report end of stream.
     */
    private ByteBuffer readBuffer() {
        if (lengthKnown() && mRead == mLength) {
            return ByteBuffer.allocate(1);
        }
        return ByteBuffer.wrap(mBody, mRead, Math.min(MAX_READ_BYTES, mBody.length - mRead));
    }

    private void endOfBody() {
        if (lengthKnown() && mRead != mLength) {
            mCall.connectionLost(
                    new IOException(
                            "response truncated: got " + mRead + " of " + mLength + " bytes"));
            return;
        }
        byte[] body = mRead == mBody.length ? mBody : Arrays.copyOf(mBody, mRead);
        // This object stays reachable as long as its connection is pooled.
        mBody = EMPTY;
        BufferedResponse response =
                new BufferedResponse(
                        mResponse.getResponseCode(),
                        mResponse.getResponseHeaders(),
                        body,
                        mReleasedByReceiver ? mReservation : null);
        afterTrailingDataCheck(
                () -> {
                    if (mReleasedByReceiver && !mCall.done()) {
                        mCall.setEndListener(() -> {});
                    }
                    if (mCall.complete()) {
                        mConnection.release(mResponse.getResponseHeaders());
                        mCall.handler().buffered(response);
                    }
                });
    }

    /**
     * Runs {@code step} unless unexpected bytes follow the response, which then fails the call.
     * Undertow's client reads beyond the end of the response in a task that was queued before the
     * one queued here. A connection that ends there does not affect the response.
     */
    void afterTrailingDataCheck(Runnable step) {
        if (willClose()) {
            mConnection.close();
            step.run();
            return;
        }
        try {
            mConnection.thread().execute(() -> runUnlessViolated(step));
        } catch (RejectedExecutionException e) {
            // The client is being closed, so it can no longer be checked whether bytes follow.
            mCall.failWith(
                    new InvalidResponseException(
                            "the HTTP client was closed at the end of the response"));
        }
    }

    private void runUnlessViolated(Runnable step) {
        InvalidResponseException violation = mConnection.source().violation();
        if (violation == null) {
            step.run();
        } else {
            mCall.failWith(violation);
        }
    }

    private boolean willClose() {
        HeaderMap headers = mResponse.getResponseHeaders();
        String connection = headers.getFirst(Headers.CONNECTION);
        return mFraming instanceof BodyFraming.UntilClose
                || (connection != null && connection.equalsIgnoreCase("close"));
    }

    private void stream() {
        ResponseStream stream = new ResponseStream(this, mCall, mSource);
        mCall.setFailureListener(stream::callFailed);
        mCall.handler().streamed(stream);
    }

    /** Returns the bytes of the body that have been read so far. */
    ByteBuffer bufferedBytes() {
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
        return mCall.client().buffers().allocate();
    }
}
