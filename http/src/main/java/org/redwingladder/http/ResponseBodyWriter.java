package org.redwingladder.http;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Sends a response body that is held in memory.
 *
 * <p>Undertow keeps the buffer that is written together with the head until the next request of the
 * connection, which may never come, and its {@code Sender} keeps the whole body. This class writes
 * a copy of a few bytes with the head and drops the body as soon as it has been written.
 */
public final class ResponseBodyWriter {
    private static final int BYTES_WITH_HEAD = 2 << 10;

    private final HttpServerExchange mExchange;
    private final StreamSinkChannel mSink;
    private final ByteBuffer mFirst;
    private @Nullable ByteBuffer mRest;

    private ResponseBodyWriter(HttpServerExchange exchange, StreamSinkChannel sink, byte[] body) {
        mExchange = exchange;
        mSink = sink;
        int first = Math.min(body.length, BYTES_WITH_HEAD);
        mFirst = ByteBuffer.wrap(Arrays.copyOf(body, first));
        mRest = ByteBuffer.wrap(body, first, body.length - first);
    }

    /**
     * Sends the body and ends the exchange. The exchange must be dispatched, with its status and
     * headers set; must be called on its I/O thread.
     */
    public static void send(HttpServerExchange exchange, byte[] body) {
        StreamSinkChannel sink = exchange.getResponseChannel();
        if (sink == null) {
            throw new IllegalStateException("response channel already in use");
        }
        ResponseBodyWriter writer = new ResponseBodyWriter(exchange, sink, requireNonNull(body));
        sink.getWriteSetter().set(channel -> writer.write());
        writer.write();
    }

    private void write() {
        try {
            if (!writeAll(mFirst) || (mRest != null && !writeAll(mRest))) {
                mSink.resumeWrites();
                return;
            }
            mRest = null;
            mSink.suspendWrites();
            mSink.shutdownWrites();
            if (mSink.flush()) {
                mExchange.endExchange();
            } else {
                mSink.getWriteSetter()
                        .set(
                                ChannelListeners.flushingChannelListener(
                                        channel -> mExchange.endExchange(),
                                        (channel, cause) -> fail()));
                mSink.resumeWrites();
            }
        } catch (IOException e) {
            // The client has disconnected; nobody waits for the response.
            fail();
        }
    }

    private boolean writeAll(ByteBuffer buffer) throws IOException {
        while (buffer.hasRemaining()) {
            if (mSink.write(buffer) == 0) {
                return false;
            }
        }
        return true;
    }

    private void fail() {
        mRest = null;
        IoUtils.safeClose(mExchange.getConnection());
        mExchange.endExchange();
    }
}
