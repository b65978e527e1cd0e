package org.redwingladder.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.redwingladder.api.Refusal;
import org.redwingladder.retry.RetryBudget;
import org.redwingladder.retry.RetryDecision;

/** Tries requests at the sites of their service. */
final class Ingress {
    private final RequestParts mParts;
    private final SiteOwners mOwners;
    private final HandOvers mHandOvers = new HandOvers();
    private final Map<String, RetryBudget> mBudgets = new ConcurrentHashMap<>();

    Ingress(RequestParts parts, SiteOwners owners) {
        mParts = parts;
        mOwners = owners;
    }

    /** Starts a request whose body was read; the returned step gives it up. */
    Runnable start(InboundRequest request, AnswerSink sink, int hop) {
        RetryBudget budget = budget(request.service().name());
        synchronized (budget) {
            budget.request();
        }
        IngressRequest running = new IngressRequest(this, request, sink, hop);
        running.start();
        return running::cancel;
    }

    RequestParts parts() {
        return mParts;
    }

    SiteOwners owners() {
        return mOwners;
    }

    HandOvers handOvers() {
        return mHandOvers;
    }

    RetryDecision decide(InboundRequest request, Refusal refusal, int sitesLeft) {
        RetryBudget budget = budget(request.service().name());
        RetryDecision.Attempted attempted =
                new RetryDecision.Attempted(
                        request.idempotent(), false, sitesLeft, request.deadlineNanos());
        synchronized (budget) {
            return RetryDecision.decide(attempted, refusal, budget, mParts.time().nanos());
        }
    }

    private RetryBudget budget(String service) {
        return mBudgets.computeIfAbsent(service, name -> RetryBudget.create());
    }
}
