package org.redwingladder.steering;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Retains server registrations that expired during a store outage until their servers can register
 * again.
 *
 * <p>Registrations expire while servers cannot reach the store. Running servers register again
 * within about two seconds of the store's recovery; removing their registrations immediately would
 * leave services without any server. A grace period starts only when this host observes the end of
 * an outage, or when a peer reports its own grace period, and it never lasts longer. A host whose
 * calls the store rejects starts none, because its peers report which servers left. Not thread-safe.
 */
public final class LapseHold {
    /** Time after the store's recovery within which running servers register again. */
    static final long RETURN_NANOS = 2_000_000_000L;

    /** A single failed call may be a broken connection; in an outage the next call fails too. */
    private static final int OUTAGE_FAILURES = 2;

    private final Map<String, ServerRegistration> mCurrent = new HashMap<>();
    private final Map<String, ServerRegistration> mHeld = new HashMap<>();
    private int mFailures;
    private long mHoldUntilNanos;
    private boolean mHolding;

    private LapseHold() {}

    /** Creates an inactive grace period without registrations. */
    public static LapseHold create() {
        return new LapseHold();
    }

    /** Records a failed call to the store. */
    public void storeFailed() {
        mFailures++;
    }

    /** Records that this host stopped polling the store and cannot observe its recovery. */
    public void storeNotAsked() {
        mFailures = 0;
    }

    /** Records a successful call to the store, which starts a grace period after an outage. */
    public void storeAnswers(long nowNanos) {
        if (mFailures >= OUTAGE_FAILURES) {
            hold(RETURN_NANOS, nowNanos);
        }
        mFailures = 0;
    }

    /**
     * Extends the grace period to that of a peer that forwards changes of the store.
     *
     * @param peerRemainingNanos the remaining time of the peer's grace period
     */
    public void othersHold(long peerRemainingNanos, long nowNanos) {
        hold(Math.min(peerRemainingNanos, RETURN_NANOS), nowNanos);
    }

    private void hold(long durationNanos, long nowNanos) {
        if (durationNanos > leftNanos(nowNanos)) {
            mHolding = true;
            mHoldUntilNanos = nowNanos + durationNanos;
        }
    }

    /** Returns the remaining time of the grace period in nanoseconds, 0 if there is none. */
    public long leftNanos(long nowNanos) {
        return holding(nowNanos) ? mHoldUntilNanos - nowNanos : 0;
    }

    /** Replaces the registered servers and returns the effective registrations by server id. */
    public Map<String, ServerRegistration> update(Map<String, ServerRegistration> registered, long nowNanos) {
        if (holding(nowNanos)) {
            mCurrent.forEach(
                    (id, entry) -> {
                        if (!registered.containsKey(id) && !entry.draining()) {
                            mHeld.put(id, entry);
                        }
                    });
        }
        mCurrent.clear();
        mCurrent.putAll(registered);
        mHeld.keySet().removeAll(registered.keySet());
        return current(nowNanos);
    }

    /** Returns the registered servers, and the retained ones while the grace period lasts. */
    public Map<String, ServerRegistration> current(long nowNanos) {
        if (!holding(nowNanos)) {
            mHeld.clear();
        }
        Map<String, ServerRegistration> all = new HashMap<>(mHeld);
        all.putAll(mCurrent);
        return all;
    }

    /** Returns whether any expired registration is retained. */
    public boolean holdsAny() {
        return !mHeld.isEmpty();
    }

    /** Returns the ids of the servers whose expired registrations are retained. */
    public Set<String> held() {
        return Set.copyOf(mHeld.keySet());
    }

    private boolean holding(long nowNanos) {
        if (mHolding && nowNanos - mHoldUntilNanos >= 0) {
            mHolding = false;
        }
        return mHolding;
    }
}
