package org.redwingladder.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Scans field lines up to the empty line behind them, RFC 9112 section 5. A line that continues the
 * line before it is rejected.
 */
final class FieldLineScanner {
    /** Receives the fields in their order. */
    interface Listener {
        /**
         * Called for each field.
         *
         * @param value the value without surrounding blanks, decoded as ISO-8859-1
         * @throws InvalidResponseException if the field must not occur
         */
        void field(String name, String value) throws InvalidResponseException;
    }

    private enum State {
        LINE_START,
        NAME,
        BEFORE_VALUE,
        VALUE,
        LINE_FEED,
        LAST_LINE_FEED,
        END
    }

    private static final int INITIAL_LINE_BYTES = 128;

    private final Listener mListener;
    private State mState = State.LINE_START;
    private byte[] mLine = new byte[INITIAL_LINE_BYTES];
    private int mLength;
    private int mNameLength;

    FieldLineScanner(Listener listener) {
        mListener = listener;
    }

    /**
     * Scans bytes up to the end of the section; returns whether it was reached.
     *
     * @throws InvalidResponseException if the bytes are no field lines
     */
    boolean scan(ByteBuffer bytes) throws InvalidResponseException {
        while (mState != State.END && bytes.hasRemaining()) {
            mState = next(bytes.get());
        }
        return mState == State.END;
    }

    private State next(byte b) throws InvalidResponseException {
        return switch (mState) {
            case LINE_START -> lineStart(b);
            case NAME -> name(b);
            case BEFORE_VALUE -> HttpGrammar.isBlank(b) ? State.BEFORE_VALUE : value(b);
            case VALUE -> value(b);
            case LINE_FEED -> {
                requireLineFeed(b);
                endField();
                yield State.LINE_START;
            }
            case LAST_LINE_FEED -> {
                requireLineFeed(b);
                yield State.END;
            }
            case END -> throw new IllegalStateException("the section has ended");
        };
    }

    private State lineStart(byte b) throws InvalidResponseException {
        if (b == '\r') {
            return State.LAST_LINE_FEED;
        }
        if (HttpGrammar.isBlank(b)) {
            throw new InvalidResponseException(
                    "response has a field line that begins with a blank");
        }
        mLength = 0;
        mNameLength = 0;
        return name(b);
    }

    private State name(byte b) throws InvalidResponseException {
        if (b == ':' && mLength > 0) {
            mNameLength = mLength;
            return State.BEFORE_VALUE;
        }
        if (!HttpGrammar.isTokenChar(b)) {
            throw new InvalidResponseException(
                    "response has " + HttpGrammar.describe(b) + " in a field name");
        }
        append(b);
        return State.NAME;
    }

    private State value(byte b) throws InvalidResponseException {
        if (b == '\r') {
            return State.LINE_FEED;
        }
        if (!HttpGrammar.isTextChar(b)) {
            throw new InvalidResponseException(
                    "response has " + HttpGrammar.describe(b) + " in a field value");
        }
        append(b);
        return State.VALUE;
    }

    private static void requireLineFeed(byte b) throws InvalidResponseException {
        if (b != '\n') {
            throw new InvalidResponseException(
                    "response has a field line that does not end with CR LF");
        }
    }

    private void append(byte b) {
        if (mLength == mLine.length) {
            mLine = Arrays.copyOf(mLine, 2 * mLength);
        }
        mLine[mLength++] = b;
    }

    private void endField() throws InvalidResponseException {
        int end = mLength;
        while (end > mNameLength && HttpGrammar.isBlank(mLine[end - 1])) {
            end--;
        }
        mListener.field(
                new String(mLine, 0, mNameLength, ISO_8859_1),
                new String(mLine, mNameLength, end - mNameLength, ISO_8859_1));
    }
}
