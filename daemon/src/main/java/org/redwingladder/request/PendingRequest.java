package org.redwingladder.request;

import org.redwingladder.routing.SiteDispatcher;
import org.redwingladder.routing.SiteRequest;
import org.redwingladder.routing.WorkClass;

/**
 * A request that the site owner has accepted and not yet completed. Confined to the owner's serial
 * executor.
 */
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

    /**
     * Reports to the ingress the queueing delay that a request of the same class would have now.
     */
    void reportExpectedWait(SiteDispatcher dispatcher, long nowNanos) {
        WorkClass configured = mSiteRequest.configuredClass();
        WorkClass workClass = configured == null ? WorkClass.SHORT : configured;
        mSink.expectedWait(dispatcher.expectedWaitNanos(workClass, nowNanos));
    }

    /** Returns true on the first call only, to the caller that has to send the final response. */
    boolean tryComplete() {
        boolean first = !mCompleted;
        mCompleted = true;
        return first;
    }
}
