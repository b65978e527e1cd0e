package org.redwingladder.request;

import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.CallException;
import org.redwingladder.http.StreamedResponse;
import org.redwingladder.once.InvalidTokenException;
import org.redwingladder.once.SingleUseToken;
import org.redwingladder.once.TokenSigner;
import org.redwingladder.once.UsedTokenStore;
import org.redwingladder.platform.PlatformClient;

/**
 * Runs work at most once, identified by a signed token of an entry host or by the client's own
 * idempotency key.
 *
 * <p>Such work is not cancelled when its client disconnects: a client that repeats the request with
 * the same token or key then gets the stored outcome instead of an unknown one.
 */
final class AtMostOnceRequests {
    /** Enough for a burst of several minutes; a full store refuses new work. */
    private static final int MAX_TOKENS = 50_000;

    /** Keeps the stored responses within the memory budget of the daemon. */
    private static final long MAX_OUTCOME_BYTES = 16L * 1024 * 1024;

    private static final int MAX_KEY_LENGTH = 128;

    private final PipelineContext mContext;
    private final Ingress mIngress;
    private final TokenSigner mSigner;
    private final UsedTokenStore mUsedTokens;
    private final IdempotencyKeyRequests mIdempotencyKeyRequests;

    AtMostOnceRequests(
            PipelineContext context, Ingress ingress, TokenSigner signer, PlatformClient platform) {
        mContext = context;
        mIngress = ingress;
        mSigner = signer;
        ClusterView.Self self = context.view().self();
        mUsedTokens =
                UsedTokenStore.create(
                        self.host(), self.incarnation(), MAX_TOKENS, MAX_OUTCOME_BYTES);
        mIdempotencyKeyRequests = new IdempotencyKeyRequests(context, ingress, platform);
    }

    /** Returns whether a request carries a token or an idempotency key. */
    boolean appliesTo(InboundRequest request) {
        return request.header(WireHeaders.TOKEN) != null
                || request.header(WireHeaders.IDEMPOTENCY_KEY) != null;
    }

    /** Issues a signed token that expires at {@code expiresAt}, in epoch milliseconds. */
    String issueToken(String service, long expiresAt) {
        SingleUseToken token;
        synchronized (mUsedTokens) {
            token = mUsedTokens.issue(service, expiresAt);
        }
        return mSigner.sign(token);
    }

    /**
     * Starts a client's request, here or at the entry host that issued its token.
     *
     * @return cancels the forwarding to another host; work that runs here is never cancelled
     * @throws RefusedException if the token or key is invalid, or the request carries both
     */
    Runnable start(InboundRequest request, ResponseSink sink) throws RefusedException {
        String key = request.header(WireHeaders.IDEMPOTENCY_KEY);
        if (request.header(WireHeaders.TOKEN) == null && key != null) {
            mIdempotencyKeyRequests.start(request, validatedKey(key), sink);
            return () -> {};
        }
        if (key != null) {
            throw RefusedException.notRun(
                    RefusalReason.BAD_REQUEST,
                    "allowed: only one of "
                            + WireHeaders.TOKEN
                            + " and "
                            + WireHeaders.IDEMPOTENCY_KEY);
        }
        SingleUseToken token = verifiedToken(request);
        if (token.host().equals(mContext.view().self().host())) {
            runLocally(request, token, sink);
            return () -> {};
        }
        ClusterView.Peer issuer = mContext.view().host(token.host());
        if (issuer == null) {
            sink.refused(
                    tokenForeign(
                            "entry host " + token.host() + " issued the token, but is not known"));
            return () -> {};
        }
        return PeerCall.forwardToTokenIssuer(mContext, request, issuer, new TokenIssuerSink(sink));
    }

    /**
     * Starts a request that another entry host forwarded because this host issued its token.
     *
     * @throws RefusedException if the token is invalid
     */
    void startForwarded(InboundRequest request, ResponseSink sink) throws RefusedException {
        runLocally(request, verifiedToken(request), sink);
    }

    private static String validatedKey(String key) throws RefusedException {
        if (key.isEmpty()
                || key.length() > MAX_KEY_LENGTH
                || !key.chars().allMatch(c -> c > ' ' && c < 127 && c != '/')) {
            throw RefusedException.notRun(
                    RefusalReason.BAD_REQUEST,
                    WireHeaders.IDEMPOTENCY_KEY
                            + " is malformed; allowed: 1 to "
                            + MAX_KEY_LENGTH
                            + " visible ASCII characters except '/'");
        }
        return key;
    }

    private SingleUseToken verifiedToken(InboundRequest request) throws RefusedException {
        String text = request.header(WireHeaders.TOKEN);
        try {
            SingleUseToken token = mSigner.verify(text == null ? "" : text);
            if (!token.service().equals(request.service().name())) {
                throw RefusedException.notRun(
                        RefusalReason.TOKEN_INVALID,
                        "the token was issued for service " + token.service());
            }
            return token;
        } catch (InvalidTokenException e) {
            throw RefusedException.notRun(
                    RefusalReason.TOKEN_INVALID, String.valueOf(e.getMessage()));
        }
    }

    private static Refusal tokenForeign(String message) {
        return Refusal.unknown(RefusalReason.TOKEN_FOREIGN, message);
    }

    private void runLocally(InboundRequest request, SingleUseToken token, ResponseSink sink) {
        UsedTokenStore.BeginResult begin;
        synchronized (mUsedTokens) {
            begin =
                    mUsedTokens.begin(
                            token, mContext.time().millis(), request.service().maxRequestMillis());
        }
        switch (begin) {
            case UsedTokenStore.BeginResult.Started started ->
                    mIngress.start(
                            request.withStartBy(token.expiresAt()),
                            new RecordingSink(token, sink),
                            request.hop());
            case UsedTokenStore.BeginResult.Spent spent ->
                    sink.refused(
                            Refusal.unknown(
                                    RefusalReason.TOKEN_SPENT,
                                    "the work has been sent and its outcome is unknown"));
            case UsedTokenStore.BeginResult.Completed done ->
                    sink.whole(
                            StoredOutcomes.toAnswer(done.response()),
                            StoredOutcomes.backend(done.response()));
            case UsedTokenStore.BeginResult.Expired expired ->
                    sink.refused(
                            new Refusal(
                                    RefusalReason.TOKEN_EXPIRED,
                                    expired.certainlyNotRun() ? Outcome.NOT_RUN : Outcome.UNKNOWN,
                                    0,
                                    "the token has expired"));
            case UsedTokenStore.BeginResult.Foreign foreign ->
                    sink.refused(
                            tokenForeign("an earlier incarnation of this host issued the token"));
            case UsedTokenStore.BeginResult.Full full ->
                    sink.refused(
                            Refusal.notRun(
                                    RefusalReason.QUEUE_FULL,
                                    mContext.time().millis() + 1000,
                                    "the store of used tokens is full"));
        }
    }

    /** Records the outcome of a token's work in the store before it forwards the response. */
    private final class RecordingSink implements ResponseSink {
        private final SingleUseToken mToken;
        private final ResponseSink mSink;

        RecordingSink(SingleUseToken token, ResponseSink sink) {
            mToken = token;
            mSink = sink;
        }

        @Override
        public void whole(BufferedResponse answer, String backend) {
            synchronized (mUsedTokens) {
                mUsedTokens.recordResponse(mToken, StoredOutcomes.of(answer, backend));
            }
            mSink.whole(answer, backend);
        }

        @Override
        public void streamed(StreamedResponse answer, String backend, Transfer transfer) {
            synchronized (mUsedTokens) {
                mUsedTokens.recordUnknown(mToken);
            }
            mSink.streamed(answer, backend, transfer);
        }

        @Override
        public void refused(Refusal refusal) {
            synchronized (mUsedTokens) {
                if (refusal.outcome() == Outcome.NOT_RUN) {
                    mUsedTokens.recordNotRun(mToken);
                } else {
                    mUsedTokens.recordUnknown(mToken);
                }
            }
            mSink.refused(refusal);
        }
    }

    /** Refuses with {@code token-foreign} if the host that issued the token is unreachable. */
    private record TokenIssuerSink(ResponseSink sink) implements ResponseSink {
        @Override
        public void whole(BufferedResponse answer, String backend) {
            sink.whole(answer, backend);
        }

        @Override
        public void streamed(StreamedResponse answer, String backend, Transfer transfer) {
            sink.streamed(answer, backend, transfer);
        }

        @Override
        public void refused(Refusal refusal) {
            sink.refused(
                    refusal.reason() == RefusalReason.PEER_LOST
                            ? tokenForeign(
                                    "the token's issuer did not answer: " + refusal.message())
                            : refusal);
        }
    }

    /** Returns a handler that ignores the end of a transfer. */
    static StreamedResponse.TransferHandler ignoringHandler() {
        return new StreamedResponse.TransferHandler() {
            @Override
            public void transferred(long bytes) {}

            @Override
            public void failed(CallException cause) {}
        };
    }
}
