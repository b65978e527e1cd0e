package org.redwingladder.http;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * An outgoing HTTP request and the limits of its call. Not thread-safe; it must not be changed
 * after it was sent, and each call needs an instance of its own.
 */
public final class CallRequest {
    private static final HttpString REQUEST_ID =
            new HttpString(org.redwingladder.api.Headers.REQUEST_ID);

    private final InetSocketAddress mAddress;
    private final long mDeadlineNanos;
    private final ClientRequest mRequest = new ClientRequest();
    private @Nullable RequestBody mBody;
    private @Nullable String mRequestId;
    private HttpString mRequestIdHeader = REQUEST_ID;
    private long mConnectDeadlineNanos;
    private boolean mCloseDelimitedBodyAllowed;
    private long mMaxIdleNanos = Long.MAX_VALUE;
    private int mMaxBufferedBytes = HttpClientLimits.DEFAULT_MAX_BUFFERED_BYTES;
    private @Nullable BufferBudget mBodyBudget;
    private BooleanSupplier mSendCondition = () -> true;

    private CallRequest(
            HttpString method, InetSocketAddress address, String path, long deadlineNanos) {
        mAddress = address;
        mDeadlineNanos = deadlineNanos;
        mConnectDeadlineNanos = deadlineNanos;
        mRequest.setMethod(method).setPath(path).setProtocol(Protocols.HTTP_1_1);
    }

    /**
     * Creates a request without a body.
     *
     * @param path the path with its query, percent-encoded
     * @param deadlineNanos the instant of {@link System#nanoTime} at which the call times out
     */
    public static CallRequest of(
            HttpString method, InetSocketAddress address, String path, long deadlineNanos) {
        return new CallRequest(method, address, path, deadlineNanos);
    }

    /** Sets a header. */
    public CallRequest header(HttpString name, String value) {
        mRequest.getRequestHeaders().put(name, value);
        return this;
    }

    /** Sets the body and the Content-Length header. */
    public CallRequest body(byte[] body) {
        return body(RequestBody.Held.of(body));
    }

    /** Sets the body and the header that tells its length. */
    public CallRequest body(RequestBody body) {
        mBody = body.length() == 0 ? null : body;
        if (body.length() < 0) {
            mRequest.getRequestHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        } else {
            mRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length());
        }
        return this;
    }

    /** Serializes {@code value} to JSON and sets it as the body. */
    public CallRequest json(Object value) {
        header(Headers.CONTENT_TYPE, "application/json");
        return body(Json.write(value));
    }

    /** Sets the request id that the response must echo; any other response is discarded. */
    public CallRequest requestId(String requestId) {
        mRequestId = requestId;
        return header(REQUEST_ID, requestId);
    }

    /** Sets the request id as {@link #requestId(String)} does, under another header name. */
    public CallRequest requestId(HttpString name, String requestId) {
        mRequestId = requestId;
        mRequestIdHeader = name;
        return header(name, requestId);
    }

    /** Sets the connect deadline, an instant of {@link System#nanoTime}. */
    public CallRequest connectDeadlineNanos(long nanos) {
        mConnectDeadlineNanos = nanos - mDeadlineNanos > 0 ? mDeadlineNanos : nanos;
        return this;
    }

    /** Accepts responses whose body is delimited by an orderly close of the connection. */
    public CallRequest allowCloseDelimitedBody() {
        mCloseDelimitedBodyAllowed = true;
        return this;
    }

    /** Sets the longest idle time of a connection that is reused for this call. */
    public CallRequest maxIdleNanos(long nanos) {
        mMaxIdleNanos = nanos;
        return this;
    }

    /** Sets the size up to which a response body is buffered instead of streamed. */
    public CallRequest maxBufferedBytes(int bytes) {
        mMaxBufferedBytes = bytes;
        return this;
    }

    /**
     * Reserves the memory of a buffered response body in {@code budget} instead of the one of the
     * client. The handler has to {@linkplain BufferedResponse#release() release} the response. A
     * body that exceeds the budget is streamed.
     */
    public CallRequest bodyBudget(BufferBudget budget) {
        mBodyBudget = budget;
        return this;
    }

    /**
     * Sets a condition that is evaluated on the I/O thread of the connection right before the first
     * byte is written, which may be long after the call was started. If it does not hold, the call
     * fails with a {@link NotSentException}.
     */
    public CallRequest sendCondition(BooleanSupplier condition) {
        mSendCondition = condition;
        return this;
    }

    /** Returns the mutable request headers, for setting many of them. */
    public HeaderMap headers() {
        return mRequest.getRequestHeaders();
    }

    /** Returns the address of the server. */
    public InetSocketAddress address() {
        return mAddress;
    }

    /** Returns the instant of {@link System#nanoTime} at which the call times out. */
    public long deadlineNanos() {
        return mDeadlineNanos;
    }

    ClientRequest request() {
        return mRequest;
    }

    @Nullable RequestBody body() {
        return mBody;
    }

    @Nullable String requestId() {
        return mRequestId;
    }

    HttpString requestIdHeader() {
        return mRequestIdHeader;
    }

    long connectDeadlineNanos() {
        return mConnectDeadlineNanos;
    }

    boolean closeDelimitedBodyAllowed() {
        return mCloseDelimitedBodyAllowed;
    }

    long maxIdleNanos() {
        return mMaxIdleNanos;
    }

    @Nullable BufferBudget bodyBudget() {
        return mBodyBudget;
    }

    BooleanSupplier sendCondition() {
        return mSendCondition;
    }

    int maxBufferedBytes() {
        return mMaxBufferedBytes;
    }
}
