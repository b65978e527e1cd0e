package org.redwingladder.http;

import java.nio.ByteBuffer;

/** Scans a body with chunked transfer encoding and its trailers, RFC 9112 section 7.1. */
final class ChunkScanner {
    /** The digits of a chunk size; more are rejected. */
    private static final int MAX_SIZE_DIGITS = 15;

    private enum State {
        SIZE,
        EXTENSION_START,
        EXTENSION_NAME,
        EXTENSION_VALUE_START,
        EXTENSION_VALUE,
        QUOTED,
        QUOTED_PAIR,
        QUOTED_END,
        SIZE_LINE_FEED,
        DATA,
        DATA_CARRIAGE_RETURN,
        DATA_LINE_FEED,
        TRAILERS,
        END
    }

    private final FieldLineScanner mTrailers = new FieldLineScanner(ChunkScanner::trailer);
    private State mState = State.SIZE;
    private int mSizeDigits;
    private long mRemaining;

    /**
     * Scans bytes up to the end of the body; returns whether it was reached.
     *
     * @throws InvalidResponseException if the bytes are no chunks
     */
    boolean scan(ByteBuffer bytes) throws InvalidResponseException {
        while (mState != State.END && bytes.hasRemaining()) {
            if (mState == State.DATA) {
                skipData(bytes);
            } else if (mState == State.TRAILERS) {
                mState = mTrailers.scan(bytes) ? State.END : State.TRAILERS;
            } else {
                mState = next(bytes.get());
            }
        }
        return mState == State.END;
    }

    private void skipData(ByteBuffer bytes) {
        int skipped = (int) Math.min(mRemaining, bytes.remaining());
        bytes.position(bytes.position() + skipped);
        mRemaining -= skipped;
        if (mRemaining == 0) {
            mState = State.DATA_CARRIAGE_RETURN;
        }
    }

    private State next(byte b) throws InvalidResponseException {
        return switch (mState) {
            case SIZE -> size(b);
            case EXTENSION_START -> {
                require(HttpGrammar.isTokenChar(b), b);
                yield State.EXTENSION_NAME;
            }
            case EXTENSION_NAME -> {
                if (b == '=') {
                    yield State.EXTENSION_VALUE_START;
                }
                yield HttpGrammar.isTokenChar(b) ? State.EXTENSION_NAME : endOfExtension(b);
            }
            case EXTENSION_VALUE_START -> {
                require(b == '"' || HttpGrammar.isTokenChar(b), b);
                yield b == '"' ? State.QUOTED : State.EXTENSION_VALUE;
            }
            case EXTENSION_VALUE ->
                    HttpGrammar.isTokenChar(b) ? State.EXTENSION_VALUE : endOfExtension(b);
            case QUOTED -> quoted(b);
            case QUOTED_PAIR -> {
                require(HttpGrammar.isTextChar(b), b);
                yield State.QUOTED;
            }
            case QUOTED_END -> endOfExtension(b);
            case SIZE_LINE_FEED -> {
                require(b == '\n', b);
                mSizeDigits = 0;
                yield mRemaining == 0 ? State.TRAILERS : State.DATA;
            }
            case DATA_CARRIAGE_RETURN -> {
                require(b == '\r', b);
                yield State.DATA_LINE_FEED;
            }
            case DATA_LINE_FEED -> {
                require(b == '\n', b);
                yield State.SIZE;
            }
            case DATA, TRAILERS, END -> throw new IllegalStateException(mState + " is no line");
        };
    }

    private State size(byte b) throws InvalidResponseException {
        int digit = HttpGrammar.hexValue(b);
        if (digit >= 0) {
            mSizeDigits++;
            require(mSizeDigits <= MAX_SIZE_DIGITS, b);
            mRemaining = 16 * mRemaining + digit;
            return State.SIZE;
        }
        require(mSizeDigits > 0, b);
        return endOfExtension(b);
    }

    private static State endOfExtension(byte b) throws InvalidResponseException {
        require(b == ';' || b == '\r', b);
        return b == ';' ? State.EXTENSION_START : State.SIZE_LINE_FEED;
    }

    private static State quoted(byte b) throws InvalidResponseException {
        if (b == '"') {
            return State.QUOTED_END;
        }
        require(HttpGrammar.isTextChar(b), b);
        return b == '\\' ? State.QUOTED_PAIR : State.QUOTED;
    }

    private static void require(boolean valid, byte b) throws InvalidResponseException {
        if (!valid) {
            throw new InvalidResponseException(
                    "response has a malformed chunk: unexpected " + HttpGrammar.describe(b));
        }
    }

    private static void trailer(String name, String value) throws InvalidResponseException {
        if (name.equalsIgnoreCase("Content-Length") || name.equalsIgnoreCase("Transfer-Encoding")) {
            throw new InvalidResponseException("response has " + name + " behind its body");
        }
    }
}
