package org.redwingladder.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;

/**
 * Checks the bytes that arrive on a connection against the grammar of HTTP/1.1 responses, without a
 * network. The rules are those of RFC 9112; docs/backend.md lists what is tolerated beyond them.
 */
final class ResponseScanner {
    private boolean mHeadRequest;

    /** The scanner of the head that is due, null if none is. */
    private @Nullable ResponseHeadScanner mHead;

    private boolean mInBody;
    private BodyFraming mFraming = new BodyFraming.Fixed(0);
    private long mRemaining;
    private ChunkScanner mChunks = new ChunkScanner();

    /**
     * Expects the response to a request that is about to be sent.
     *
     * @param headRequest whether the request's method is HEAD
     */
    void startResponse(boolean headRequest) {
        mHeadRequest = headRequest;
        mHead = new ResponseHeadScanner(headRequest);
        mInBody = false;
    }

    /** Returns how the end of the body is determined, once the head has been scanned. */
    BodyFraming framing() {
        return mFraming;
    }

    /** Returns whether the response is complete if no more bytes arrive. */
    boolean isComplete() {
        return mHead == null && (!mInBody || mFraming instanceof BodyFraming.UntilClose);
    }

    /**
     * Scans received bytes, all of which are consumed.
     *
     * @return the bytes to parse in their place, in which heads are canonical and interim responses
     *     are missing; null if the received bytes are to be parsed as they are
     * @throws InvalidResponseException if the bytes are no response
     */
    byte @Nullable [] scan(ByteBuffer received) throws InvalidResponseException {
        if (mInBody) {
            scanBody(received);
            requireNoSurplus(received);
            return null;
        }
        ByteArrayOutputStream parsed = new ByteArrayOutputStream(received.remaining());
        for (ResponseHeadScanner head = mHead; head != null && head.scan(received); head = mHead) {
            endHead(head, parsed);
        }
        if (mInBody) {
            ByteBuffer body = received.duplicate();
            scanBody(received);
            byte[] bytes = new byte[received.position() - body.position()];
            body.get(bytes);
            parsed.writeBytes(bytes);
        }
        requireNoSurplus(received);
        return parsed.toByteArray();
    }

    private void endHead(ResponseHeadScanner head, ByteArrayOutputStream parsed)
            throws InvalidResponseException {
        BodyFraming framing = head.framing();
        if (head.isInterim()) {
            mHead = new ResponseHeadScanner(mHeadRequest);
            return;
        }
        parsed.writeBytes(head.canonicalBytes());
        mHead = null;
        mFraming = framing;
        mInBody = true;
        switch (framing) {
            case BodyFraming.Fixed fixed -> {
                mRemaining = fixed.bytes();
                mInBody = mRemaining > 0;
            }
            case BodyFraming.Chunked chunked -> mChunks = new ChunkScanner();
            case BodyFraming.UntilClose untilClose -> {}
        }
    }

    private void scanBody(ByteBuffer received) throws InvalidResponseException {
        switch (mFraming) {
            case BodyFraming.Fixed fixed -> {
                int scanned = (int) Math.min(mRemaining, received.remaining());
                received.position(received.position() + scanned);
                mRemaining -= scanned;
                mInBody = mRemaining > 0;
            }
            case BodyFraming.Chunked chunked -> mInBody = !mChunks.scan(received);
            case BodyFraming.UntilClose untilClose -> received.position(received.limit());
        }
    }

    private static void requireNoSurplus(ByteBuffer received) throws InvalidResponseException {
        if (received.hasRemaining()) {
            throw new InvalidResponseException("unexpected bytes outside of a response");
        }
    }
}
