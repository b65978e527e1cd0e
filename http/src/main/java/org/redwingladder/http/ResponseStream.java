package org.redwingladder.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Forwards a response body from its connection to a server exchange, one buffer at a time.
 *
 * <p>Reads happen on the source's I/O thread and writes on either thread, never both at once: the
 * source is suspended while the sink is not writable. The monitor makes the changes of the buffer
 * visible between the two threads.
 */
final class ResponseStream implements StreamedResponse {
    private final ResponseReader mReader;
    private final ClientCall mCall;
    private final StreamSourceChannel mSource;
    private @Nullable HttpServerExchange mExchange;
    private @Nullable StreamSinkChannel mSink;
    private @Nullable TransferHandler mHandler;
    private Pacer mPacer = bytes -> 0;
    private @Nullable PooledByteBuffer mPooled;
    private ByteBuffer mPending;
    private long mTransferred;
    private boolean mSourceEnded;
    private boolean mReceiverBlocked;

    ResponseStream(ResponseReader reader, ClientCall call, StreamSourceChannel source) {
        mReader = reader;
        mCall = call;
        mSource = source;
        mPending = reader.bufferedBytes();
    }

    @Override
    public int status() {
        return mReader.response().getResponseCode();
    }

    @Override
    public HeaderMap headers() {
        return mReader.response().getResponseHeaders();
    }

    @Override
    public long length() {
        return mReader.length();
    }

    @Override
    public synchronized boolean receiverBlocked() {
        return mReceiverBlocked;
    }

    @Override
    public void discard(TransferHandler handler) {
        synchronized (this) {
            mHandler = handler;
        }
        mCall.cancel();
    }

    @Override
    public void transferTo(HttpServerExchange exchange, Pacer pacer, TransferHandler handler) {
        synchronized (this) {
            mExchange = exchange;
            mPacer = pacer;
            mHandler = handler;
        }
        if (Thread.currentThread() == mReader.connection().thread()) {
            begin();
        } else {
            mReader.connection().thread().execute(this::begin);
        }
    }

    private synchronized void begin() {
        HttpServerExchange exchange = mExchange;
        if (exchange == null || mCall.done()) {
            return;
        }
        mSink = exchange.getResponseChannel();
        if (mSink == null) {
            failReceiverDisconnected(new IOException("response channel already in use"));
            return;
        }
        mSink.getWriteSetter().set(sink -> writable());
        mSource.getReadSetter().set(source -> pump());
        mPooled = mReader.allocate();
        pump();
    }

    /** Alternates writes and reads until the sink or the source would block. */
    private synchronized void pump() {
        PooledByteBuffer pooled = mPooled;
        if (pooled == null || mCall.done()) {
            return;
        }
        try {
            while (writePending()) {
                if (mSourceEnded) {
                    complete();
                    return;
                }
                ByteBuffer buffer = pooled.getBuffer();
                buffer.clear();
                int count = mSource.read(buffer);
                // Without the flip an empty read would write the bytes of the last read again.
                buffer.flip();
                mPending = buffer;
                if (count == 0) {
                    mSource.resumeReads();
                    return;
                }
                if (count < 0) {
                    endOfSource();
                    return;
                }
                mReader.connection().source().bodyBytesRead(count);
                long delay = mPacer.delayNanos(count);
                if (delay > 0) {
                    mSource.suspendReads();
                    mReader.connection()
                            .thread()
                            .executeAfter(this::pump, delay, TimeUnit.NANOSECONDS);
                    return;
                }
            }
        } catch (IOException e) {
            mCall.connectionLost(e);
        }
    }

    /**
     * Writes the pending bytes. Returns false if the sink is not writable, in which case {@link
     * #writable} is called later, or if the receiver disconnected.
     */
    private boolean writePending() {
        StreamSinkChannel sink = mSink;
        if (sink == null) {
            return false;
        }
        try {
            while (mPending.hasRemaining()) {
                int count = sink.write(mPending);
                mReceiverBlocked = count == 0;
                if (mReceiverBlocked) {
                    mSource.suspendReads();
                    sink.resumeWrites();
                    return false;
                }
                mTransferred += count;
            }
            return true;
        } catch (IOException e) {
            failReceiverDisconnected(e);
            return false;
        }
    }

    private synchronized void writable() {
        StreamSinkChannel sink = mSink;
        if (sink != null && writePending()) {
            sink.suspendWrites();
            mReader.connection().thread().execute(this::pump);
        }
    }

    private void endOfSource() {
        if (mReader.length() >= 0 && mTransferred != mReader.length()) {
            mCall.connectionLost(
                    new IOException(
                            "response truncated: got "
                                    + mTransferred
                                    + " of "
                                    + mReader.length()
                                    + " bytes"));
            return;
        }
        mSourceEnded = true;
        mReader.afterTrailingDataCheck(this::pump);
    }

    private void complete() {
        StreamSinkChannel sink = mSink;
        TransferHandler handler = mHandler;
        if (sink == null || handler == null || !mCall.complete()) {
            return;
        }
        mReader.connection().release(mReader.response().getResponseHeaders());
        freeBuffer();
        try {
            sink.shutdownWrites();
            if (sink.flush()) {
                exchangeComplete(handler);
            } else {
                sink.getWriteSetter().set(channel -> flush(handler));
                sink.resumeWrites();
            }
        } catch (IOException e) {
            closeReceiver();
            handler.failed(receiverDisconnected(e));
        }
    }

    private synchronized void flush(TransferHandler handler) {
        StreamSinkChannel sink = mSink;
        try {
            if (sink != null && sink.flush()) {
                sink.suspendWrites();
                exchangeComplete(handler);
            }
        } catch (IOException e) {
            closeReceiver();
            handler.failed(receiverDisconnected(e));
        }
    }

    private void exchangeComplete(TransferHandler handler) {
        if (mExchange != null) {
            mExchange.endExchange();
        }
        handler.transferred(mTransferred);
    }

    private void failReceiverDisconnected(IOException cause) {
        mCall.failWith(receiverDisconnected(cause));
    }

    private static ResponseLostException receiverDisconnected(IOException cause) {
        return new ResponseLostException(
                ResponseLostException.Cause.RECEIVER_GONE,
                "receiver disconnected: " + cause.getMessage());
    }

    /** Aborts the transfer because the call failed. */
    synchronized void callFailed(CallException cause) {
        freeBuffer();
        closeReceiver();
        TransferHandler handler = mHandler;
        if (handler != null) {
            handler.failed(cause);
        }
    }

    private void closeReceiver() {
        if (mExchange != null) {
            IoUtils.safeClose(mExchange.getConnection());
        }
    }

    private void freeBuffer() {
        PooledByteBuffer pooled = mPooled;
        mPooled = null;
        mPending = ByteBuffer.allocate(0);
        if (pooled != null) {
            pooled.close();
        }
    }
}
