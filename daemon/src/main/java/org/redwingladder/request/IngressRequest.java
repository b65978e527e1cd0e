package org.redwingladder.request;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.http.StreamedAnswer;
import org.redwingladder.http.WholeAnswer;
import org.redwingladder.retry.RetryDecision;
import org.redwingladder.routing.SiteLoads;
import org.redwingladder.settings.Site;

/** Tries one request at one site after the other until it has its final answer. */
final class IngressRequest {
    private final Ingress mIngress;
    private final InboundRequest mRequest;
    private final ResponseSink mSink;
    private final int mHop;
    private final RoutingTrace mTrace;
    private final String mKey;
    private final List<SiteLoads.Site> mSites;
    private int mNext;
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
        mKey = SiteSelector.key(request);
        ClusterView view = ingress.context().view();
        mSites =
                ingress.choice()
                        .order(mKey, view.candidateZones(request.service().name(), request.block()));
    }

    void start() {
        tryNext(null);
    }

    private void tryNext(@Nullable Refusal last) {
        ClusterView view = mIngress.context().view();
        while (mNext < mSites.size()) {
            String zone = mSites.get(mNext++).name();
            ClusterView.Peer owner = view.ownerOf(zone, mRequest.service().name());
            if (owner == null) {
                explain(zone, "skipped: no owner known");
                continue;
            }
            SiteAttempt candidate = new SiteAttempt(zone, owner);
            synchronized (this) {
                if (mDone) {
                    return;
                }
                mCurrent = candidate;
            }
            explain(candidate.name(), "tried");
            candidate.start();
            return;
        }
        refuse(
                last != null
                        ? last
                        : Refusal.notRun(
                                RefusalReason.NO_BACKEND,
                                mIngress.context().time().millis() + RETRY_MILLIS,
                                "no site of the service has a known owner"));
    }

    /** Tries the site of a refused candidate again, whose owner has just changed. */
    private void tryAgain(SiteAttempt refused, Refusal last) {
        ClusterView.Peer owner =
                mIngress.context().view().ownerOf(refused.mZone, mRequest.service().name());
        if (owner == null) {
            tryNext(last);
            return;
        }
        SiteAttempt candidate = new SiteAttempt(refused.mZone, owner);
        synchronized (this) {
            if (mDone || mCurrent != refused) {
                return;
            }
            mCurrent = candidate;
        }
        explain(candidate.name(), "tried again");
        candidate.start();
    }

    /** An owner is found again after a roster change, which takes a few heartbeats. */
    private static final long RETRY_MILLIS = 1000;

    private synchronized boolean finish(@Nullable SiteAttempt by) {
        if (mDone || (by != null && mCurrent != by)) {
            return false;
        }
        mDone = true;
        mCurrent = null;
        return true;
    }

    private void refuse(Refusal refusal) {
        if (finish(null)) {
            explain(
                    mIngress.context().view().self().host(),
                    "refused: " + refusal.reason().wireName());
            mSink.refused(mMayHaveRun ? withUnknownOutcome(refusal) : refusal);
        }
    }

    /** The last refusal speaks for its own attempt only; an earlier one may have run the work. */
    private static Refusal withUnknownOutcome(Refusal refusal) {
        return new Refusal(
                refusal.reason(), Outcome.UNKNOWN, refusal.retryAtMillis(), refusal.message());
    }

    /** Gives the request up, because its client has gone. */
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
        explain("client", "gone");
        if (current != null) {
            current.cancel();
        }
    }

    private void explain(String candidate, String event) {
        mTrace.add(mIngress.context().time().millis(), candidate, event);
    }

    /** Holds the attempt at one site. */
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
            mIngress.choice().sent(mKey, mZone);
            long patience =
                    mIngress.choice()
                            .maxWaitNanos(
                                    mKey,
                                    mSites.subList(mNext - 1, mSites.size()),
                                    mIngress.tokens(mRequest));
            ClusterView.Self self = mIngress.context().view().self();
            if (!mOwner.host().equals(self.host())) {
                mCancel =
                        PeerCall.dispatch(
                                mIngress.context(), mRequest, mOwner, mHop + 1, patience, this);
                return;
            }
            SiteOwner owner = mIngress.owners().owner(mRequest.service().name());
            if (owner == null) {
                refused(Refusal.notRun(RefusalReason.NOT_OWNER, 0, "the site has not started"));
            } else {
                mCancel = owner.offer(mRequest, patience, this, mTrace);
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
            mIngress.choice().recordWait(mKey, mZone, nanos);
        }

        @Override
        public void whole(WholeAnswer answer, String backend) {
            if (finish(this)) {
                mIngress.handoverRetries().served(site());
                explain(name(), "answered by " + backend);
                mSink.whole(answer, backend);
            }
        }

        @Override
        public void streamed(StreamedAnswer answer, String backend, Transfer transfer) {
            if (finish(this)) {
                mIngress.handoverRetries().served(site());
                explain(name(), "answered by " + backend);
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
            mIngress.choice().refused(mKey, mZone, refusal);
            mMayHaveRun |= refusal.outcome() == Outcome.UNKNOWN;
            explain(name(), refusal.reason().wireName() + ", " + refusal.outcome().wireName());
            long now = mIngress.context().time().nanos();
            boolean inTime = mRequest.deadlineNanos() - now > 0;
            if (mIngress.handoverRetries().shouldWait(site(), refusal, now) && inTime) {
                mIngress.context()
                        .caller()
                        .worker()
                        .getIoThread()
                        .executeAfter(
                                () -> tryAgain(this, refusal),
                                HandoverRetryPolicy.STEP_MILLIS,
                                TimeUnit.MILLISECONDS);
                return;
            }
            switch (mIngress.decide(mRequest, refusal, mSites.size() - mNext)) {
                case RetryDecision.Retry retry -> {
                    mIngress.context().metrics().retry(refusal.reason());
                    tryNext(refusal);
                }
                case RetryDecision.GiveUp giveUp -> refuse(giveUp.answer());
            }
        }
    }
}
