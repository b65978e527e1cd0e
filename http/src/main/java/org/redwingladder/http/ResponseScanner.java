package org.redwingladder.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;

/**
 * Checks the bytes that arrive on a connection against the grammar of HTTP/1.1 responses, without a
 * network. The rules are those of RFC 9112; docs/backend.md lists what is tolerated beyond them.
 */
final class ResponseScanner {
    private enum State {
        /** No response is due. */
        IDLE,
        HEAD,
        BODY,
        /** The connection may be used for the next request. */
        COMPLETE
    }

    private State mState = State.IDLE;
    private boolean mHeadRequest;
    private ResponseHeadScanner mHead = new ResponseHeadScanner(false);
    private ChunkScanner mChunks = new ChunkScanner();
    private BodyFraming mFraming = new BodyFraming.Fixed(0);
    private long mRemaining;

    /** Expects the response to a request that is about to be sent. */
    void startResponse(boolean headRequest) {
        mHeadRequest = headRequest;
        mHead = new ResponseHeadScanner(headRequest);
        mState = State.HEAD;
    }

    /** Returns how the end of the body is determined. The head must have been scanned. */
    BodyFraming framing() {
        return mFraming;
    }

    /**
     * Returns whether the response would be complete if the connection ended in good order here.
     */
    boolean atEndOfResponse() {
        return mState == State.COMPLETE
                || (mState == State.BODY && mFraming instanceof BodyFraming.UntilClose);
    }

    /**
     * Scans received bytes, all of which are consumed.
     *
     * @return the bytes to parse in their place, in which heads are canonical and interim responses
     *     are missing; null if the received bytes are to be parsed as they are
     * @throws InvalidResponseException if the bytes are no response
     */
    byte @Nullable [] scan(ByteBuffer received) throws InvalidResponseException {
        if (mState == State.BODY) {
            scanBody(received);
            requireNoSurplus(received);
            return null;
        }
        ByteArrayOutputStream parsed = new ByteArrayOutputStream(received.remaining());
        while (mState == State.HEAD && mHead.scan(received)) {
            endHead(parsed);
        }
        if (mState == State.BODY) {
            ByteBuffer body = received.duplicate();
            scanBody(received);
            byte[] bytes = new byte[received.position() - body.position()];
            body.get(bytes);
            parsed.writeBytes(bytes);
        }
        requireNoSurplus(received);
        return parsed.toByteArray();
    }

    private void endHead(ByteArrayOutputStream parsed) throws InvalidResponseException {
        BodyFraming framing = mHead.framing();
        if (mHead.isInterim()) {
            mHead = new ResponseHeadScanner(mHeadRequest);
            return;
        }
        parsed.writeBytes(mHead.canonicalBytes());
        mFraming = framing;
        mState = State.BODY;
        switch (framing) {
            case BodyFraming.Fixed fixed -> {
                mRemaining = fixed.bytes();
                if (mRemaining == 0) {
                    mState = State.COMPLETE;
                }
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
                if (mRemaining == 0) {
                    mState = State.COMPLETE;
                }
            }
            case BodyFraming.Chunked chunked -> {
                if (mChunks.scan(received)) {
                    mState = State.COMPLETE;
                }
            }
            case BodyFraming.UntilClose untilClose -> received.position(received.limit());
        }
    }

    private void requireNoSurplus(ByteBuffer received) throws InvalidResponseException {
        if (received.hasRemaining()) {
            throw new InvalidResponseException("unexpected bytes outside of a response");
        }
    }
}
