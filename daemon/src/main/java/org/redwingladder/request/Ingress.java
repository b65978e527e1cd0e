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
    private final SiteChoice mChoice;
    private final Map<String, RetryBudget> mBudgets = new ConcurrentHashMap<>();

    Ingress(RequestParts parts, SiteOwners owners) {
        mParts = parts;
        mOwners = owners;
        mChoice = new SiteChoice(parts);
    }

    /** Starts a request whose body was read; the returned step gives it up. */
    Runnable start(InboundRequest request, AnswerSink sink, int hop) {
        RetryBudget budget = budget(request);
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

    SiteChoice choice() {
        return mChoice;
    }

    /** Returns the retries that the budget of the request's service and class has left. */
    int tokens(InboundRequest request) {
        RetryBudget budget = budget(request);
        synchronized (budget) {
            return budget.tokens();
        }
    }

    HandOvers handOvers() {
        return mHandOvers;
    }

    RetryDecision decide(InboundRequest request, Refusal refusal, int sitesLeft) {
        RetryBudget budget = budget(request);
        RetryDecision.Attempted attempted =
                new RetryDecision.Attempted(
                        request.idempotent(), false, sitesLeft, request.deadlineNanos());
        synchronized (budget) {
            return RetryDecision.decide(attempted, refusal, budget, mParts.time().nanos());
        }
    }

    /** Refused long work does not use up the retries of short work. */
    private RetryBudget budget(InboundRequest request) {
        return mBudgets.computeIfAbsent(SiteChoice.key(request), name -> RetryBudget.create());
    }
}
