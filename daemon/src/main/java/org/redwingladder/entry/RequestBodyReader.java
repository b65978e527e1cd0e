package org.redwingladder.entry;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.protocol.http.HttpContinue;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.redwingladder.http.BufferBudget;
import org.redwingladder.http.RequestBody;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of a client's request into memory as it arrives. The rest of a large body is left
 * to be sent as it arrives, so that such a request can be sent to one server only.
 */
final class RequestBodyReader {
    /** Receives the result; exactly one method is called, once, on the I/O thread. */
    interface Receiver {
        /** Called with a body that is complete or large. */
        void received(RequestBody body);

        /** Called if the body exceeds the limit of the settings. */
        void tooLarge();

        /** Called if the client has disconnected. */
        void disconnected(IOException cause);
    }

    /** A client's body up to this size can be sent again to another server. */
    static final int MAX_HELD_BYTES = 1 << 20;

    /** The size instead of {@link #MAX_HELD_BYTES} if much of the memory is in use. */
    private static final int MIN_HELD_BYTES = 64 << 10;

    /** The bytes of each body that are held even if no memory is left for bodies. */
    private static final int UNRESERVED_BYTES = 4 << 10;

    private final HttpServerExchange mExchange;
    private final BufferBudget mBudget;
    private final BufferBudget.Reservation mReservation;
    private final int mMaxHeldBytes;
    private final Receiver mReceiver;
    private final long mLength;
    private byte[] mBytes = new byte[0];
    private int mRead;

    private RequestBodyReader(
            HttpServerExchange exchange, BufferBudget budget, int maxHeldBytes, Receiver receiver) {
        mExchange = exchange;
        mBudget = budget;
        mReservation = budget.open();
        mMaxHeldBytes = maxHeldBytes;
        mReceiver = receiver;
        mLength = exchange.getRequestContentLength();
    }

    /**
     * Starts to read. Must be called on the exchange's I/O thread, with the exchange dispatched.
     *
     * @param maxHeldBytes the size up to which a body is held if there is memory for it
     */
    static void read(
            HttpServerExchange exchange, BufferBudget budget, int maxHeldBytes, Receiver receiver) {
        RequestBodyReader reader = new RequestBodyReader(exchange, budget, maxHeldBytes, receiver);
        if (reader.mLength > exchange.getMaxEntitySize() && exchange.getMaxEntitySize() > 0) {
            receiver.tooLarge();
            return;
        }
        ClientConnections.onRequestEnd(exchange, reader.mReservation::release);
        if (HttpContinue.requiresContinueResponse(exchange)) {
            reader.requestBody();
        } else {
            reader.start();
        }
    }

    /** Tells a client that waits for it to send the body. */
    private void requestBody() {
        HttpContinue.sendContinueResponse(
                mExchange,
                new IoCallback() {
                    @Override
                    public void onComplete(HttpServerExchange exchange, Sender sender) {
                        start();
                    }

                    @Override
                    public void onException(
                            HttpServerExchange exchange, Sender sender, IOException cause) {
                        mReceiver.disconnected(cause);
                    }
                });
    }

    private void start() {
        StreamSourceChannel source = mExchange.getRequestChannel();
        source.getReadSetter().set(this::read);
        read(source);
    }

    private void read(StreamSourceChannel source) {
        try {
            while (true) {
                if (mRead == mBytes.length && !tryGrow()) {
                    source.suspendReads();
                    mReceiver.received(RequestBody.Streamed.of(mBytes, source, mLength));
                    return;
                }
                int count = source.read(ByteBuffer.wrap(mBytes, mRead, mBytes.length - mRead));
                if (count == 0) {
                    source.resumeReads();
                    return;
                }
                if (count < 0) {
                    source.suspendReads();
                    mReceiver.received(RequestBody.Held.of(Arrays.copyOf(mBytes, mRead)));
                    return;
                }
                mRead += count;
            }
        } catch (RequestTooBigException e) {
            mReceiver.tooLarge();
        } catch (IOException e) {
            mReceiver.disconnected(e);
        }
    }

    /** Enlarges the buffer; returns false at the most that may be held. */
    private boolean tryGrow() {
        int max = mBudget.reservedBytes() < mBudget.maxBytes() / 2 ? mMaxHeldBytes : MIN_HELD_BYTES;
        // One byte more than the body, so that its end is read.
        long most = mLength >= 0 ? Math.min(mLength + 1, max) : max;
        long size = Math.min(most, Math.max(UNRESERVED_BYTES, 2L * mBytes.length));
        if (size <= mBytes.length || !mReservation.tryGrowTo(size - UNRESERVED_BYTES)) {
            return false;
        }
        mBytes = Arrays.copyOf(mBytes, (int) size);
        return true;
    }
}
