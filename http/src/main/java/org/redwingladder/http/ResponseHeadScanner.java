package org.redwingladder.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Scans the head of one response, RFC 9112 sections 4 and 5, and writes it in canonical form. */
final class ResponseHeadScanner {
    /** The bytes of a head; more are rejected. */
    static final int MAX_HEAD_BYTES = 32 << 10;

    private static final byte[] VERSION = "HTTP/1.1 ".getBytes(ISO_8859_1);
    private static final int STATUS_DIGITS = 3;
    private static final int MAX_STATUS = 599;
    private static final int MIN_STATUS = 100;
    private static final int SWITCHING_PROTOCOLS = 101;

    private enum State {
        VERSION,
        STATUS,
        AFTER_STATUS,
        REASON,
        LINE_FEED,
        FIELDS
    }

    private final boolean mHeadRequest;
    private final FieldLineScanner mFields = new FieldLineScanner(this::field);
    private final StringBuilder mCanonical = new StringBuilder(512);
    private final List<String> mLengths = new ArrayList<>(1);
    private final List<String> mEncodings = new ArrayList<>(1);
    private State mState = State.VERSION;
    private int mPosition;
    private int mStatus;
    private int mScanned;

    /**
     * Creates a scanner.
     *
     * @param headRequest whether the request's method is HEAD
     */
    ResponseHeadScanner(boolean headRequest) {
        mHeadRequest = headRequest;
    }

    /**
     * Scans bytes up to the end of the head; returns whether it was reached.
     *
     * @throws InvalidResponseException if the bytes are no head of a response
     */
    boolean scan(ByteBuffer bytes) throws InvalidResponseException {
        int start = bytes.position();
        while (mState != State.FIELDS && bytes.hasRemaining()) {
            mState = next(bytes.get());
        }
        boolean complete = mState == State.FIELDS && mFields.scan(bytes);
        mScanned += bytes.position() - start;
        if (mScanned > MAX_HEAD_BYTES) {
            throw new InvalidResponseException(
                    "response head exceeds " + MAX_HEAD_BYTES + " bytes");
        }
        return complete;
    }

    private State next(byte b) throws InvalidResponseException {
        return switch (mState) {
            case VERSION -> version(b);
            case STATUS -> status(b);
            case AFTER_STATUS -> {
                if (b != ' ' && b != '\r') {
                    throw malformedStatusLine(b);
                }
                mCanonical.append(' ');
                yield b == ' ' ? State.REASON : State.LINE_FEED;
            }
            case REASON -> {
                if (b == '\r') {
                    yield State.LINE_FEED;
                }
                if (!HttpGrammar.isTextChar(b)) {
                    throw malformedStatusLine(b);
                }
                append(b);
                yield State.REASON;
            }
            case LINE_FEED -> {
                if (b != '\n') {
                    throw malformedStatusLine(b);
                }
                mCanonical.append("\r\n");
                yield State.FIELDS;
            }
            case FIELDS -> throw new IllegalStateException("the status line has ended");
        };
    }

    private State version(byte b) throws InvalidResponseException {
        if (b != VERSION[mPosition]) {
            throw malformedStatusLine(b);
        }
        append(b);
        mPosition++;
        return mPosition < VERSION.length ? State.VERSION : State.STATUS;
    }

    private State status(byte b) throws InvalidResponseException {
        if (!HttpGrammar.isDigit(b)) {
            throw malformedStatusLine(b);
        }
        append(b);
        mPosition++;
        mStatus = 10 * mStatus + (b - '0');
        if (mPosition < VERSION.length + STATUS_DIGITS) {
            return State.STATUS;
        }
        if (mStatus < MIN_STATUS || mStatus > MAX_STATUS || mStatus == SWITCHING_PROTOCOLS) {
            throw new InvalidResponseException(
                    String.format("response has the unusable status %03d", mStatus));
        }
        return State.AFTER_STATUS;
    }

    private static InvalidResponseException malformedStatusLine(byte b) {
        return new InvalidResponseException(
                "response has a malformed status line: unexpected " + HttpGrammar.describe(b));
    }

    private void append(byte b) {
        mCanonical.append((char) Byte.toUnsignedInt(b));
    }

    private void field(String name, String value) {
        if (name.equalsIgnoreCase("Content-Length")) {
            mLengths.add(value);
            if (!mHeadRequest && BodyFraming.isBodiless(mStatus)) {
                // The HTTP client would wait for the bytes.
                return;
            }
        } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
            mEncodings.add(value);
            if (mHeadRequest || BodyFraming.isBodiless(mStatus)) {
                return;
            }
        }
        mCanonical.append(name).append(": ").append(value).append("\r\n");
    }

    /** Returns whether the head is that of an interim response, which another head follows. */
    boolean isInterim() {
        return mStatus < 200;
    }

    /**
     * Returns how the end of the body is determined.
     *
     * @throws InvalidResponseException if the head contradicts itself
     */
    BodyFraming framing() throws InvalidResponseException {
        return BodyFraming.of(mStatus, mHeadRequest, mLengths, mEncodings);
    }

    /** Returns the whole head, without optional blanks and with each delimiter once. */
    byte[] canonicalBytes() {
        return mCanonical.append("\r\n").toString().getBytes(ISO_8859_1);
    }
}
