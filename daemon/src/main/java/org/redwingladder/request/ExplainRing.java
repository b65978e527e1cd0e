package org.redwingladder.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/** Keeps the explanations of the latest requests; older ones are overwritten. */
public final class ExplainRing {
    /** Holds a few seconds of traffic in about two megabytes. */
    private static final int SIZE = 4096;

    private final AtomicReferenceArray<Explanation> mRing = new AtomicReferenceArray<>(SIZE);
    private final AtomicLong mNext = new AtomicLong();

    ExplainRing() {}

    Explanation start(String requestId, String service, String role) {
        Explanation explanation = new Explanation(requestId, service, role);
        mRing.lazySet((int) (mNext.getAndIncrement() % SIZE), explanation);
        return explanation;
    }

    /** Returns what is known about a request, in the role of ingress and of owner. */
    public List<Explanation> find(String requestId) {
        List<Explanation> found = new ArrayList<>();
        for (int i = 0; i < SIZE; i++) {
            Explanation explanation = mRing.get(i);
            if (explanation != null && explanation.requestId().equals(requestId)) {
                found.add(explanation);
            }
        }
        return found;
    }
}
