package org.redwingladder.http;

import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;

/**
 * Sends a body while it arrives, one buffer at a time: nothing is read while the connection to the
 * server is not writable. Source and sink belong to the same I/O thread.
 */
final class RequestBodyStream {
    private final ClientCall mCall;
    private final RequestBody.Streamed mBody;
    private final StreamSinkChannel mSink;
    private @Nullable PooledByteBuffer mPooled;
    private ByteBuffer mPending;
    private boolean mSourceEnded;
    private boolean mSent;

    RequestBodyStream(ClientCall call, RequestBody.Streamed body, StreamSinkChannel sink) {
        mCall = call;
        mBody = body;
        mSink = sink;
        mPending = ByteBuffer.wrap(body.takePrefix());
    }

    void start() {
        mPooled = mCall.client().buffers().allocate();
        mSink.getWriteSetter().set(sink -> pump());
        mBody.source().getReadSetter().set(source -> pump());
        pump();
    }

    /** Returns whether the whole body has been sent. */
    boolean sent() {
        return mSent;
    }

    /** Ends the transfer because the call has ended. */
    void stop() {
        PooledByteBuffer pooled = mPooled;
        if (pooled != null) {
            mPooled = null;
            mPending = ByteBuffer.allocate(0);
            if (!mSourceEnded) {
                mBody.source().suspendReads();
            }
            pooled.close();
        }
    }

    private void pump() {
        try {
            while (mPooled != null && !mSent && writePending()) {
                if (mSourceEnded) {
                    finish();
                    return;
                }
                if (!read(mPooled.getBuffer())) {
                    return;
                }
            }
        } catch (IOException e) {
            stop();
            mCall.connectionLost(e);
        }
    }

    /** Returns whether all pending bytes were written. */
    private boolean writePending() throws IOException {
        while (mPending.hasRemaining()) {
            if (mSink.write(mPending) == 0) {
                mBody.source().suspendReads();
                mSink.resumeWrites();
                return false;
            }
        }
        mSink.suspendWrites();
        return true;
    }

    /** Returns whether there are more bytes to write or the body has ended. */
    private boolean read(ByteBuffer buffer) {
        buffer.clear();
        int count;
        try {
            count = mBody.source().read(buffer);
        } catch (IOException e) {
            stop();
            mBody.listener().failed(e);
            return false;
        }
        buffer.flip();
        mPending = buffer;
        if (count == 0) {
            mBody.source().resumeReads();
            return false;
        }
        if (count < 0) {
            mSourceEnded = true;
            mPending = ByteBuffer.allocate(0);
            mBody.listener().ended();
        }
        return true;
    }

    private void finish() throws IOException {
        mSent = true;
        stop();
        mSink.shutdownWrites();
        if (!mSink.flush()) {
            mSink.getWriteSetter()
                    .set(
                            ChannelListeners.flushingChannelListener(
                                    null, (channel, cause) -> mCall.connectionLost(cause)));
            mSink.resumeWrites();
        }
    }
}
