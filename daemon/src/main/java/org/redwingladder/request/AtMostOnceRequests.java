package org.redwingladder.request;

import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.http.CallException;
import org.redwingladder.http.StreamedAnswer;
import org.redwingladder.http.WholeAnswer;
import org.redwingladder.once.Token;
import org.redwingladder.once.TokenException;
import org.redwingladder.once.TokenLedger;
import org.redwingladder.once.TokenSigner;
import org.redwingladder.platform.PlatformClient;

/**
 * Runs work that must not repeat.
 *
 * <p>Such work is not cancelled when its client goes away: a client that lost its connection comes
 * back with the same token or key, and finds the outcome instead of an unknown one.
 */
final class AtMostOnceRequests {
    /** Holds the tokens of a burst of several minutes; a full ledger refuses new work. */
    private static final int MAX_TOKENS = 50_000;

    /** Keeps the ledger within the memory budget of the daemon. */
    private static final long MAX_OUTCOME_BYTES = 16L * 1024 * 1024;

    private static final int MAX_KEY_LENGTH = 128;

    private final PipelineContext mContext;
    private final Ingress mIngress;
    private final TokenSigner mSigner;
    private final TokenLedger mLedger;
    private final IdempotencyKeyRequests mIdempotencyKeyRequests;

    AtMostOnceRequests(PipelineContext context, Ingress ingress, TokenSigner signer, PlatformClient platform) {
        mContext = context;
        mIngress = ingress;
        mSigner = signer;
        ClusterView.Self self = context.view().self();
        mLedger =
                TokenLedger.create(self.host(), self.incarnation(), MAX_TOKENS, MAX_OUTCOME_BYTES);
        mIdempotencyKeyRequests = new IdempotencyKeyRequests(context, ingress, platform);
    }

    /** Returns whether a request carries a token or a key. */
    boolean applies(InboundRequest request) {
        return request.header(WireHeaders.TOKEN) != null
                || request.header(WireHeaders.IDEMPOTENCY_KEY) != null;
    }

    /** Returns a new token of this host. */
    String issue(String service, long expiresAt) {
        Token token;
        synchronized (mLedger) {
            token = mLedger.issue(service, expiresAt);
        }
        return mSigner.sign(token);
    }

    /** Starts a request of a client; nothing cancels it. */
    Runnable start(InboundRequest request, ResponseSink sink) throws RefusedException {
        String key = request.header(WireHeaders.IDEMPOTENCY_KEY);
        if (request.header(WireHeaders.TOKEN) == null && key != null) {
            mIdempotencyKeyRequests.start(request, checkedKey(key), sink);
            return () -> {};
        }
        if (key != null) {
            throw RefusedException.notRun(
                    RefusalReason.BAD_REQUEST,
                    "allowed: " + WireHeaders.TOKEN + " or " + WireHeaders.IDEMPOTENCY_KEY);
        }
        Token token = token(request);
        if (token.host().equals(mContext.view().self().host())) {
            runHere(request, token, sink);
            return () -> {};
        }
        ClusterView.Peer host = mContext.view().host(token.host());
        if (host == null) {
            sink.refused(foreign("entry host " + token.host() + " is not known"));
            return () -> {};
        }
        return PeerCall.once(mContext, request, host, new TokenIssuerSink(sink));
    }

    /** Starts a request that another entry host forwarded because of its token. */
    void startForwarded(InboundRequest request, ResponseSink sink) throws RefusedException {
        runHere(request, token(request), sink);
    }

    private static String checkedKey(String key) throws RefusedException {
        if (key.isEmpty()
                || key.length() > MAX_KEY_LENGTH
                || !key.chars().allMatch(c -> c > ' ' && c < 127 && c != '/')) {
            throw RefusedException.notRun(
                    RefusalReason.BAD_REQUEST,
                    WireHeaders.IDEMPOTENCY_KEY
                            + " is malformed; allowed: 1 to "
                            + MAX_KEY_LENGTH
                            + " visible characters but '/'");
        }
        return key;
    }

    private Token token(InboundRequest request) throws RefusedException {
        String text = request.header(WireHeaders.TOKEN);
        try {
            Token token = mSigner.verify(text == null ? "" : text);
            if (!token.service().equals(request.service().name())) {
                throw RefusedException.notRun(
                        RefusalReason.TOKEN_INVALID, "the token is for service " + token.service());
            }
            return token;
        } catch (TokenException e) {
            throw RefusedException.notRun(
                    RefusalReason.TOKEN_INVALID, String.valueOf(e.getMessage()));
        }
    }

    private static Refusal foreign(String message) {
        return Refusal.unknown(RefusalReason.TOKEN_FOREIGN, message);
    }

    private void runHere(InboundRequest request, Token token, ResponseSink sink) {
        TokenLedger.Begin begin;
        synchronized (mLedger) {
            begin =
                    mLedger.begin(
                            token, mContext.time().millis(), request.service().maxRequestMillis());
        }
        switch (begin) {
            case TokenLedger.Begin.Started started ->
                    mIngress.start(
                            request.withStartBy(token.expiresAt()),
                            new RecordingSink(token, sink),
                            request.hop());
            case TokenLedger.Begin.Spent spent ->
                    sink.refused(
                            Refusal.unknown(
                                    RefusalReason.TOKEN_SPENT,
                                    "the work was sent and its outcome is not known"));
            case TokenLedger.Begin.Done done ->
                    sink.whole(StoredOutcomes.toAnswer(done.outcome()), StoredOutcomes.backend(done.outcome()));
            case TokenLedger.Begin.Expired expired ->
                    sink.refused(
                            new Refusal(
                                    RefusalReason.TOKEN_EXPIRED,
                                    expired.certainlyNotRun() ? Outcome.NOT_RUN : Outcome.UNKNOWN,
                                    0,
                                    "the token has expired"));
            case TokenLedger.Begin.Foreign foreign ->
                    sink.refused(foreign("an earlier process of this host issued the token"));
            case TokenLedger.Begin.Full full ->
                    sink.refused(
                            Refusal.notRun(
                                    RefusalReason.QUEUE_FULL,
                                    mContext.time().millis() + 1000,
                                    "too many tokens are in use"));
        }
    }

    /** Notes the outcome of work under a token before it is handed on. */
    private final class RecordingSink implements ResponseSink {
        private final Token mToken;
        private final ResponseSink mSink;

        RecordingSink(Token token, ResponseSink sink) {
            mToken = token;
            mSink = sink;
        }

        @Override
        public void whole(WholeAnswer answer, String backend) {
            synchronized (mLedger) {
                mLedger.completed(mToken, StoredOutcomes.of(answer, backend));
            }
            mSink.whole(answer, backend);
        }

        @Override
        public void streamed(StreamedAnswer answer, String backend, Transfer transfer) {
            synchronized (mLedger) {
                mLedger.lost(mToken);
            }
            mSink.streamed(answer, backend, transfer);
        }

        @Override
        public void refused(Refusal refusal) {
            synchronized (mLedger) {
                if (refusal.outcome() == Outcome.NOT_RUN) {
                    mLedger.notRun(mToken);
                } else {
                    mLedger.lost(mToken);
                }
            }
            mSink.refused(refusal);
        }
    }

    /** Names the token as the reason when its host cannot be reached. */
    private record TokenIssuerSink(ResponseSink sink) implements ResponseSink {
        @Override
        public void whole(WholeAnswer answer, String backend) {
            sink.whole(answer, backend);
        }

        @Override
        public void streamed(StreamedAnswer answer, String backend, Transfer transfer) {
            sink.streamed(answer, backend, transfer);
        }

        @Override
        public void refused(Refusal refusal) {
            sink.refused(
                    refusal.reason() == RefusalReason.PEER_LOST
                            ? foreign("the token's host was not reached: " + refusal.message())
                            : refusal);
        }
    }

    /** Ends the transfer of an answer that nobody wants. */
    static StreamedAnswer.TransferHandler ignoring() {
        return new StreamedAnswer.TransferHandler() {
            @Override
            public void transferred(long bytes) {}

            @Override
            public void failed(CallException cause) {}
        };
    }
}
