package org.redwingladder.request;

import java.util.ArrayList;
import java.util.List;

/** Records the candidates at which a request was tried, and why it was answered or refused. */
public final class RoutingTrace {

    /**
     * One step of the routing.
     *
     * @param atMillis the time of the step, in epoch milliseconds
     * @param candidate the site, entry host or backend server that was considered
     * @param event the decision or result
     */
    public record Step(long atMillis, String candidate, String event) {}

    /** Bounds the memory for a request that is tried at many candidates; later steps are lost. */
    private static final int MAX_STEPS = 32;

    private final String mRequestId;
    private final String mService;
    private final String mRole;
    private final List<Step> mSteps = new ArrayList<>(4);

    RoutingTrace(String requestId, String service, String role) {
        mRequestId = requestId;
        mService = service;
        mRole = role;
    }

    synchronized void add(long atMillis, String candidate, String event) {
        if (mSteps.size() < MAX_STEPS) {
            mSteps.add(new Step(atMillis, candidate, event));
        }
    }

    public String requestId() {
        return mRequestId;
    }

    public String service() {
        return mService;
    }

    /** Returns the role of this host: {@code ingress} or {@code owner}. */
    public String role() {
        return mRole;
    }

    /** Returns a copy of the steps recorded so far. */
    public synchronized List<Step> steps() {
        return List.copyOf(mSteps);
    }
}
