package org.redwingladder.request;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.StreamedResponse;
import org.redwingladder.retry.RetryDecision;
import org.redwingladder.routing.SiteWaitTracker;
import org.redwingladder.settings.Site;

/** Sends one request to the sites of its service, in order, until it has a final response. */
final class IngressRequest {
    private final Ingress mIngress;
    private final InboundRequest mRequest;
    private final ResponseSink mSink;
    private final int mHop;
    private final RoutingTrace mTrace;
    private final String mLoadKey;
    private final List<SiteWaitTracker.Site> mSites;
    private int mNextSite;
    private @Nullable SiteAttempt mCurrent;
    private boolean mDone;
    private volatile boolean mMayHaveRun;

    IngressRequest(Ingress ingress, InboundRequest request, ResponseSink sink, int hop) {
        mIngress = ingress;
        mRequest = request;
        mSink = sink;
        mHop = hop;
        mTrace =
                ingress.context()
                        .traces()
                        .start(request.requestId(), request.service().name(), "ingress");
        mLoadKey = SiteSelector.key(request);
        ClusterView view = ingress.context().view();
        mSites =
                ingress.selector()
                        .order(
                                mLoadKey,
                                view.candidateZones(request.service().name(), request.block()));
    }

    void start() {
        tryNextSite(null);
    }

    /** Tries the next site with a known owner; refuses with {@code lastRefusal} if none is left. */
    private void tryNextSite(@Nullable Refusal lastRefusal) {
        ClusterView view = mIngress.context().view();
        while (mNextSite < mSites.size()) {
            String zone = mSites.get(mNextSite++).name();
            ClusterView.Peer owner = view.ownerOf(zone, mRequest.service().name());
            if (owner == null) {
                trace(zone, "skipped: no owner known");
                continue;
            }
            SiteAttempt attempt = new SiteAttempt(zone, owner);
            synchronized (this) {
                if (mDone) {
                    return;
                }
                mCurrent = attempt;
            }
            trace(attempt.name(), "tried");
            attempt.start();
            return;
        }
        refuse(
                lastRefusal != null
                        ? lastRefusal
                        : Refusal.notRun(
                                RefusalReason.NO_BACKEND,
                                mIngress.context().time().millis() + NO_OWNER_RETRY_MILLIS,
                                "no site of the service has a known owner"));
    }

    /** Retries the site of a refused attempt, which may have a new owner after a hand-over. */
    private void retrySameSite(SiteAttempt refused, Refusal refusal) {
        ClusterView.Peer owner =
                mIngress.context().view().ownerOf(refused.mZone, mRequest.service().name());
        if (owner == null) {
            tryNextSite(refusal);
            return;
        }
        SiteAttempt attempt = new SiteAttempt(refused.mZone, owner);
        synchronized (this) {
            if (mDone || mCurrent != refused) {
                return;
            }
            mCurrent = attempt;
        }
        trace(attempt.name(), "tried again");
        attempt.start();
    }

    /** A site gets a new owner with the next roster change, which takes a few heartbeats. */
    private static final long NO_OWNER_RETRY_MILLIS = 1000;

    /** Returns true once, for the current attempt; {@code attempt} is null for a refusal here. */
    private synchronized boolean finish(@Nullable SiteAttempt attempt) {
        if (mDone || (attempt != null && mCurrent != attempt)) {
            return false;
        }
        mDone = true;
        mCurrent = null;
        return true;
    }

    private void refuse(Refusal refusal) {
        if (finish(null)) {
            trace(
                    mIngress.context().view().self().host(),
                    "refused: " + refusal.reason().wireName());
            mSink.refused(mMayHaveRun ? withUnknownOutcome(refusal) : refusal);
        }
    }

    /** The last refusal covers its own attempt only; an earlier attempt may have run the work. */
    private static Refusal withUnknownOutcome(Refusal refusal) {
        return new Refusal(
                refusal.reason(), Outcome.UNKNOWN, refusal.retryAtMillis(), refusal.message());
    }

    /** Cancels the request, because its client has disconnected. */
    void cancel() {
        SiteAttempt current;
        synchronized (this) {
            if (mDone) {
                return;
            }
            current = mCurrent;
            mDone = true;
            mCurrent = null;
        }
        trace("client", "gone");
        if (current != null) {
            current.cancel();
        }
    }

    private void trace(String candidate, String event) {
        mTrace.add(mIngress.context().time().millis(), candidate, event);
    }

    /** The attempt at one site. */
    private final class SiteAttempt implements ResponseSink {
        private final String mZone;
        private final ClusterView.Peer mOwner;
        private volatile @Nullable Runnable mCancel;

        SiteAttempt(String zone, ClusterView.Peer owner) {
            mZone = zone;
            mOwner = owner;
        }

        String name() {
            return mZone + "/" + mOwner.host();
        }

        void start() {
            mIngress.selector().recordSend(mLoadKey, mZone);
            long maxWaitNanos =
                    mIngress.selector()
                            .maxWaitNanos(
                                    mLoadKey,
                                    mSites.subList(mNextSite - 1, mSites.size()),
                                    mIngress.retryTokens(mRequest));
            ClusterView.Self self = mIngress.context().view().self();
            if (!mOwner.host().equals(self.host())) {
                mCancel =
                        PeerCall.forwardToOwner(
                                mIngress.context(), mRequest, mOwner, mHop + 1, maxWaitNanos, this);
                return;
            }
            SiteOwner owner = mIngress.owners().owner(mRequest.service().name());
            if (owner == null) {
                refused(
                        Refusal.notRun(
                                RefusalReason.NOT_OWNER, 0, "this host has not started the site"));
            } else {
                mCancel = owner.submit(mRequest, maxWaitNanos, this, mTrace);
            }
        }

        private Site site() {
            return new Site(mRequest.service().name(), mZone);
        }

        void cancel() {
            Runnable cancel = mCancel;
            if (cancel != null) {
                cancel.run();
            }
        }

        @Override
        public void expectedWait(long nanos) {
            mIngress.selector().recordWait(mLoadKey, mZone, nanos);
        }

        @Override
        public void whole(BufferedResponse answer, String backend) {
            if (finish(this)) {
                mIngress.handoverRetries().completed(site());
                trace(name(), "answered by " + backend);
                mSink.whole(answer, backend);
            }
        }

        @Override
        public void streamed(StreamedResponse answer, String backend, Transfer transfer) {
            if (finish(this)) {
                mIngress.handoverRetries().completed(site());
                trace(name(), "answered by " + backend);
                mSink.streamed(answer, backend, transfer);
            } else {
                answer.discard(transfer.handler());
            }
        }

        @Override
        public void refused(Refusal refusal) {
            synchronized (IngressRequest.this) {
                if (mDone || mCurrent != this) {
                    return;
                }
            }
            mIngress.selector().recordRefusal(mLoadKey, mZone, refusal);
            mMayHaveRun |= refusal.outcome() == Outcome.UNKNOWN;
            trace(name(), refusal.reason().wireName() + ", " + refusal.outcome().wireName());
            long now = mIngress.context().time().nanos();
            boolean beforeDeadline = mRequest.deadlineNanos() - now > 0;
            if (mIngress.handoverRetries().shouldRetry(site(), refusal, now) && beforeDeadline) {
                mIngress.context()
                        .caller()
                        .worker()
                        .getIoThread()
                        .executeAfter(
                                () -> retrySameSite(this, refusal),
                                HandoverRetryPolicy.RETRY_DELAY_MILLIS,
                                TimeUnit.MILLISECONDS);
                return;
            }
            switch (mIngress.decideRetry(mRequest, refusal, mSites.size() - mNextSite)) {
                case RetryDecision.Retry retry -> {
                    mIngress.context().metrics().retry(refusal.reason());
                    tryNextSite(refusal);
                }
                case RetryDecision.Fail giveUp -> refuse(giveUp.answer());
            }
        }
    }
}
