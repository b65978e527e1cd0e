package org.redwingladder.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/** Keeps the traces of the latest requests; older ones are overwritten. */
public final class RoutingTraceBuffer {
    /** Holds a few seconds of traffic in about two megabytes. */
    private static final int SIZE = 4096;

    private final AtomicReferenceArray<RoutingTrace> mRing = new AtomicReferenceArray<>(SIZE);
    private final AtomicLong mNext = new AtomicLong();

    RoutingTraceBuffer() {}

    RoutingTrace start(String requestId, String service, String role) {
        RoutingTrace trace = new RoutingTrace(requestId, service, role);
        mRing.lazySet((int) (mNext.getAndIncrement() % SIZE), trace);
        return trace;
    }

    /** Returns what is known about a request, in the role of ingress and of owner. */
    public List<RoutingTrace> find(String requestId) {
        List<RoutingTrace> found = new ArrayList<>();
        for (int i = 0; i < SIZE; i++) {
            RoutingTrace trace = mRing.get(i);
            if (trace != null && trace.requestId().equals(requestId)) {
                found.add(trace);
            }
        }
        return found;
    }
}
