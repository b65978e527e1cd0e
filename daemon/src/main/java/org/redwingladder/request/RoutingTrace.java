package org.redwingladder.request;

import java.util.ArrayList;
import java.util.List;

/** Records which candidates a request was tried at, and why it was answered or refused. */
public final class RoutingTrace {

    /**
     * Describes one step.
     *
     * @param atMillis when it happened, in epoch milliseconds
     * @param candidate the entry host or backend server that was considered
     * @param event what happened there
     */
    public record Step(long atMillis, String candidate, String event) {}

    /** Bounds the memory of one request that is tried at many candidates. */
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

    /** Returns the request's id. */
    public String requestId() {
        return mRequestId;
    }

    /** Returns the request's service. */
    public String service() {
        return mService;
    }

    /** Returns whether this host acted as {@code ingress} or as {@code owner}. */
    public String role() {
        return mRole;
    }

    /** Returns the steps so far. */
    public synchronized List<Step> steps() {
        return List.copyOf(mSteps);
    }
}
