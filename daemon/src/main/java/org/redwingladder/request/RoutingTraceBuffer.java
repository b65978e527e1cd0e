package org.redwingladder.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/** A ring buffer of the routing traces of the latest requests. */
public final class RoutingTraceBuffer {
    /** A few seconds of traffic, in about two megabytes. */
    private static final int CAPACITY = 4096;

    private final AtomicReferenceArray<RoutingTrace> mRing = new AtomicReferenceArray<>(CAPACITY);
    private final AtomicLong mNext = new AtomicLong();

    RoutingTraceBuffer() {}

    /** Adds an empty trace, which replaces the oldest one if the buffer is full. */
    RoutingTrace start(String requestId, String service, String role) {
        RoutingTrace trace = new RoutingTrace(requestId, service, role);
        mRing.lazySet((int) (mNext.getAndIncrement() % CAPACITY), trace);
        return trace;
    }

    /** Returns the traces of a request: this host may have been its ingress, its owner, or both. */
    public List<RoutingTrace> find(String requestId) {
        List<RoutingTrace> found = new ArrayList<>();
        for (int i = 0; i < CAPACITY; i++) {
            RoutingTrace trace = mRing.get(i);
            if (trace != null && trace.requestId().equals(requestId)) {
                found.add(trace);
            }
        }
        return found;
    }
}
