package org.redwingladder.request;

import org.redwingladder.routing.SiteDispatcher;
import org.redwingladder.routing.SiteRequest;
import org.redwingladder.routing.WorkClass;

/** Holds a request while its site's owner has it. Used only by the owner's serial queue. */
final class PendingRequest {
    private final InboundRequest mInbound;
    private final SiteRequest mSiteRequest;
    private final ResponseSink mSink;
    private final RoutingTrace mTrace;
    private boolean mCompleted;

    PendingRequest(
            InboundRequest inbound,
            SiteRequest siteRequest,
            ResponseSink sink,
            RoutingTrace trace) {
        mInbound = inbound;
        mSiteRequest = siteRequest;
        mSink = sink;
        mTrace = trace;
    }

    InboundRequest inbound() {
        return mInbound;
    }

    SiteRequest siteRequest() {
        return mSiteRequest;
    }

    ResponseSink sink() {
        return mSink;
    }

    RoutingTrace trace() {
        return mTrace;
    }

    /** Tells the ingress how long a request like this one would wait now. */
    void reportExpectedWait(SiteDispatcher dispatcher, long nowNanos) {
        WorkClass stated = mSiteRequest.statedClass();
        WorkClass workClass = stated == null ? WorkClass.SHORT : stated;
        mSink.expectedWait(dispatcher.expectedWaitNanos(workClass, nowNanos));
    }

    /** Returns true once, for the caller that gives the only final answer. */
    boolean decide() {
        boolean first = !mCompleted;
        mCompleted = true;
        return first;
    }
}
