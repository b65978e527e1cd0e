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
 * Moves an answer's body from its connection to an exchange, one buffer at a time.
 *
 * <p>Reads happen on the source's I/O thread and writes on either thread, never both at once: the
 * source is suspended while the sink is not writable. The monitor keeps the two threads' views of
 * the buffer the same.
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

    ResponseStream(ResponseReader reader, ClientCall call, StreamSourceChannel source) {
        mReader = reader;
        mCall = call;
        mSource = source;
        mPending = reader.readSoFar();
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
            receiverGone(new IOException("the response was already started"));
            return;
        }
        mSink.getWriteSetter().set(sink -> writable());
        mSource.getReadSetter().set(source -> pump());
        mPooled = mReader.allocate();
        pump();
    }

    /** Writes what is pending, then reads more until one side has to wait. */
    private synchronized void pump() {
        PooledByteBuffer pooled = mPooled;
        if (pooled == null || mCall.done()) {
            return;
        }
        try {
            while (writePending()) {
                if (mSourceEnded) {
                    finished();
                    return;
                }
                ByteBuffer buffer = pooled.getBuffer();
                buffer.clear();
                int count = mSource.read(buffer);
                // A read of nothing leaves nothing to write, not the bytes of the last read.
                buffer.flip();
                mPending = buffer;
                if (count == 0) {
                    mSource.resumeReads();
                    return;
                }
                if (count < 0) {
                    sourceEnded();
                    return;
                }
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
            mCall.cutOff(e);
        }
    }

    /** Returns false if the sink is not writable or gone; it then calls {@link #writable} later. */
    private boolean writePending() {
        StreamSinkChannel sink = mSink;
        if (sink == null) {
            return false;
        }
        try {
            while (mPending.hasRemaining()) {
                int count = sink.write(mPending);
                if (count == 0) {
                    mSource.suspendReads();
                    sink.resumeWrites();
                    return false;
                }
                mTransferred += count;
            }
            return true;
        } catch (IOException e) {
            receiverGone(e);
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

    private void sourceEnded() {
        if (mReader.length() >= 0 && mTransferred != mReader.length()) {
            mCall.cutOff(
                    new IOException("read " + mTransferred + " of " + mReader.length() + " bytes"));
            return;
        }
        mSourceEnded = true;
        mReader.afterSurplusCheck(this::pump);
    }

    private void finished() {
        StreamSinkChannel sink = mSink;
        TransferHandler handler = mHandler;
        if (sink == null || handler == null || !mCall.end()) {
            return;
        }
        mReader.connection().release(mReader.response().getResponseHeaders());
        freeBuffer();
        try {
            sink.shutdownWrites();
            if (sink.flush()) {
                ended(handler);
            } else {
                sink.getWriteSetter().set(channel -> flush(handler));
                sink.resumeWrites();
            }
        } catch (IOException e) {
            closeReceiver();
            handler.failed(receiverLost(e));
        }
    }

    private synchronized void flush(TransferHandler handler) {
        StreamSinkChannel sink = mSink;
        try {
            if (sink != null && sink.flush()) {
                sink.suspendWrites();
                ended(handler);
            }
        } catch (IOException e) {
            closeReceiver();
            handler.failed(receiverLost(e));
        }
    }

    private void ended(TransferHandler handler) {
        if (mExchange != null) {
            mExchange.endExchange();
        }
        handler.transferred(mTransferred);
    }

    private void receiverGone(IOException cause) {
        mCall.finish(receiverLost(cause));
    }

    private static ResponseLostException receiverLost(IOException cause) {
        return new ResponseLostException(
                ResponseLostException.Cause.RECEIVER_GONE,
                "the receiver went away: " + cause.getMessage());
    }

    /** Ends the transfer when the call ends early. */
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
