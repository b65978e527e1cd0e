package org.redwingladder.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.redwingladder.api.Refusal;
import org.redwingladder.retry.RetryBudget;
import org.redwingladder.retry.RetryDecision;

/**
 * Routes requests to the sites of their service, with a retry budget for each service and work
 * class.
 */
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

    /**
     * Starts a request whose body has been read.
     *
     * @param hop how many entry hosts have forwarded the request
     * @return cancels the request
     */
    Runnable start(InboundRequest request, ResponseSink sink, int hop) {
        RetryBudget budget = budget(request);
        synchronized (budget) {
            budget.recordRequest();
        }
        IngressRequest started = new IngressRequest(this, request, sink, hop);
        started.start();
        return started::cancel;
    }

    PipelineContext context() {
        return mContext;
    }

    SiteOwnerRegistry owners() {
        return mOwners;
    }

    SiteSelector selector() {
        return mSelector;
    }

    /** Returns the whole tokens left in the retry budget of the request's service and class. */
    int retryTokens(InboundRequest request) {
        RetryBudget budget = budget(request);
        synchronized (budget) {
            return budget.tokens();
        }
    }

    HandoverRetryPolicy handoverRetries() {
        return mHandoverRetries;
    }

    /** Decides whether a refused request is retried at another site; a retry takes a token. */
    RetryDecision decideRetry(InboundRequest request, Refusal refusal, int sitesLeft) {
        RetryBudget budget = budget(request);
        RetryDecision.FailedAttempt attempted =
                new RetryDecision.FailedAttempt(
                        request.idempotent(), false, sitesLeft, request.deadlineNanos());
        synchronized (budget) {
            return RetryDecision.decide(attempted, refusal, budget, mContext.time().nanos());
        }
    }

    /**
     * Budgets are per work class: refusals of long work do not use up the retries of short work.
     */
    private RetryBudget budget(InboundRequest request) {
        return mBudgets.computeIfAbsent(SiteSelector.key(request), name -> RetryBudget.create());
    }
}
