package org.redwingladder.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.redwingladder.api.Refusal;
import org.redwingladder.retry.RetryBudget;
import org.redwingladder.retry.RetryDecision;

/** Tries requests at the sites of their service. */
final class Ingress {
    private final PipelineContext mContext;
    private final SiteOwnerRegistry mOwners;
    private final HandoverRetryPolicy mHandoverRetries = new HandoverRetryPolicy();
    private final SiteSelector mSelector;
    private final Map<String, RetryBudget> mBudgets = new ConcurrentHashMap<>();

    Ingress(PipelineContext context, SiteOwnerRegistry owners) {
        mContext = context;
        mOwners = owners;
        mSelector = new SiteSelector(context);
    }

    /** Starts a request whose body was read; the returned step gives it up. */
    Runnable start(InboundRequest request, ResponseSink sink, int hop) {
        RetryBudget budget = budget(request);
        synchronized (budget) {
            budget.request();
        }
        IngressRequest running = new IngressRequest(this, request, sink, hop);
        running.start();
        return running::cancel;
    }

    PipelineContext context() {
        return mContext;
    }

    SiteOwnerRegistry owners() {
        return mOwners;
    }

    SiteSelector choice() {
        return mSelector;
    }

    /** Returns the retries that the budget of the request's service and class has left. */
    int tokens(InboundRequest request) {
        RetryBudget budget = budget(request);
        synchronized (budget) {
            return budget.tokens();
        }
    }

    HandoverRetryPolicy handoverRetries() {
        return mHandoverRetries;
    }

    RetryDecision decide(InboundRequest request, Refusal refusal, int sitesLeft) {
        RetryBudget budget = budget(request);
        RetryDecision.Attempted attempted =
                new RetryDecision.Attempted(
                        request.idempotent(), false, sitesLeft, request.deadlineNanos());
        synchronized (budget) {
            return RetryDecision.decide(attempted, refusal, budget, mContext.time().nanos());
        }
    }

    /** Refused long work does not use up the retries of short work. */
    private RetryBudget budget(InboundRequest request) {
        return mBudgets.computeIfAbsent(SiteSelector.key(request), name -> RetryBudget.create());
    }
}
