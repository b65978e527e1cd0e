package org.redwingladder.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.jspecify.annotations.Nullable;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Passes only valid responses to the HTTP client, whose parser accepts and repairs others.
 *
 * <p>Reads fail with an {@link InvalidResponseException} at the first byte that is no part of a
 * response. The head is withheld until it is complete.
 */
final class ResponseSourceConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final ByteBuffer NONE = ByteBuffer.allocate(0);

    private final BoundedSourceConduit mBound;
    private final ResponseScanner mScanner = new ResponseScanner();
    private ByteBuffer mPending = NONE;
    private @Nullable InvalidResponseException mViolation;

    ResponseSourceConduit(BoundedSourceConduit next) {
        super(next);
        mBound = next;
    }

    /**
     * Expects the response to a request that is about to be sent.
     *
     * @param headRequest whether the request's method is HEAD
     */
    void startResponse(boolean headRequest) {
        mBound.startResponse();
        mScanner.startResponse(headRequest);
    }

    /**
     * Returns whether the server has ended the connection or sent bytes since the last response.
     * Must be called on the I/O thread, between two responses.
     */
    boolean endedBetweenResponses() {
        try {
            return read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Records bytes of a body, for which further bytes may arrive. */
    void bodyBytesRead(long count) {
        mBound.bodyBytesRead(count);
    }

    /** Returns how the end of the body is determined, once the head has been read. */
    BodyFraming framing() {
        return mScanner.framing();
    }

    /** Returns why reads failed, null if all received bytes were those of responses. */
    @Nullable InvalidResponseException violation() {
        return mViolation;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (mViolation != null) {
            throw mViolation;
        }
        try {
            return readResponse(target);
        } catch (InvalidResponseException e) {
            mViolation = e;
            throw e;
        }
    }

    private int readResponse(ByteBuffer target) throws IOException {
        while (!mPending.hasRemaining()) {
            int start = target.position();
            int count = next.read(target);
            if (count <= 0) {
                return count;
            }
            byte[] parsed = mScanner.scan(target.duplicate().flip().position(start));
            if (parsed == null) {
                return count;
            }
            target.position(start);
            mPending = ByteBuffer.wrap(parsed);
        }
        int count = Math.min(mPending.remaining(), target.remaining());
        target.put(mPending.slice().limit(count));
        mPending.position(mPending.position() + count);
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (targets[i].hasRemaining()) {
                return read(targets[i]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer through, StreamSinkChannel target)
            throws IOException {
        return Conduits.transfer(this, count, through, target);
    }

    @Override
    public void resumeReads() {
        if (mPending.hasRemaining()) {
            next.wakeupReads();
        } else {
            next.resumeReads();
        }
    }
}
