package org.redwingladder.request;

import io.undertow.util.HeaderMap;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.Call;
import org.redwingladder.http.CallException;
import org.redwingladder.http.InvalidResponseException;
import org.redwingladder.http.NotSentException;
import org.redwingladder.http.ResponseHandler;
import org.redwingladder.http.ResponseLostException;
import org.redwingladder.http.StreamedResponse;
import org.redwingladder.routing.AttemptResult;

/**
 * One attempt of a request at one backend server.
 *
 * <p>The fields are confined to the site owner's serial executor; callbacks of the HTTP call are
 * forwarded to that executor.
 */
final class BackendAttempt implements ResponseHandler {
    private final SiteOwner mOwner;
    private final PendingRequest mRequest;
    private final long mNumber;
    private final String mBackend;
    private @Nullable Call mCall;
    private @Nullable BufferedResponse mWhole;
    private @Nullable StreamedResponse mStreamed;

    BackendAttempt(SiteOwner owner, PendingRequest request, long number, String backend) {
        mOwner = owner;
        mRequest = request;
        mNumber = number;
        mBackend = backend;
    }

    PendingRequest request() {
        return mRequest;
    }

    long number() {
        return mNumber;
    }

    String backend() {
        return mBackend;
    }

    @Nullable Call call() {
        return mCall;
    }

    void call(Call call) {
        mCall = call;
    }

    @Nullable BufferedResponse wholeAnswer() {
        return mWhole;
    }

    @Nullable StreamedResponse streamedAnswer() {
        return mStreamed;
    }

    @Override
    public void buffered(BufferedResponse answer) {
        mOwner.run(
                () -> {
                    mWhole = answer;
                    mOwner.answered(this, answer.status(), answer.headers());
                });
    }

    @Override
    public void streamed(StreamedResponse answer) {
        mOwner.run(
                () -> {
                    mStreamed = answer;
                    mOwner.answerBegan(this, answer);
                });
    }

    @Override
    public void failed(CallException cause) {
        mOwner.run(() -> mOwner.failed(this, cause));
    }

    /** Returns whether the server shed the request, which guarantees that the work was not run. */
    static boolean isShed(int status, HeaderMap headers) {
        return status == 503 && "true".equals(headers.getFirst(WireHeaders.NOT_RUN));
    }

    /** Returns the attempt result of a failed call, for load balancing and outlier detection. */
    static AttemptResult resultOf(CallException cause) {
        return switch (cause) {
            case NotSentException notSent ->
                    switch (notSent.reason()) {
                        case NOT_LISTENING, REFUSED -> AttemptResult.CONNECTION_REFUSED;
                        case POOL_FULL, DEADLINE, CANCELLED, WITHDRAWN, CLOSED ->
                                AttemptResult.SHED;
                    };
            case InvalidResponseException bad -> AttemptResult.INVALID_RESPONSE;
            case ResponseLostException lost ->
                    lost.reason() == ResponseLostException.Cause.RECEIVER_GONE
                            ? AttemptResult.ANSWERED
                            : AttemptResult.CONNECTION_LOST;
        };
    }
}
