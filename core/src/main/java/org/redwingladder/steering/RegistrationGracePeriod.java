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
 * calls the store rejects starts none, because its peers report which servers left. Not
 * thread-safe.
 */
public final class RegistrationGracePeriod {
    /** Time after the store's recovery within which running servers register again. */
    static final long GRACE_NANOS = 2_000_000_000L;

    /** A single failed call may be a broken connection; in an outage the next call fails too. */
    private static final int CONSECUTIVE_FAILURES_OF_OUTAGE = 2;

    private final Map<String, ServerRegistration> mRegistered = new HashMap<>();
    private final Map<String, ServerRegistration> mRetained = new HashMap<>();
    private int mConsecutiveFailures;
    private long mEndNanos;
    private boolean mActive;

    private RegistrationGracePeriod() {}

    /** Creates an inactive grace period without registrations. */
    public static RegistrationGracePeriod create() {
        return new RegistrationGracePeriod();
    }

    /** Records a failed call to the store. */
    public void recordStoreFailure() {
        mConsecutiveFailures++;
    }

    /** Records that this host stopped polling the store and cannot observe its recovery. */
    public void recordPollingStopped() {
        mConsecutiveFailures = 0;
    }

    /** Records a successful call to the store, which starts a grace period after an outage. */
    public void recordStoreSuccess(long nowNanos) {
        if (mConsecutiveFailures >= CONSECUTIVE_FAILURES_OF_OUTAGE) {
            extend(GRACE_NANOS, nowNanos);
        }
        mConsecutiveFailures = 0;
    }

    /** Records that the store was restored from a copy, which may lack running servers. */
    public void recordStoreRestored(long nowNanos) {
        extend(GRACE_NANOS, nowNanos);
    }

    /**
     * Extends the grace period to that of a peer that forwards changes of the store.
     *
     * @param peerRemainingNanos the remaining time of the peer's grace period
     */
    public void extendFromPeer(long peerRemainingNanos, long nowNanos) {
        extend(Math.min(peerRemainingNanos, GRACE_NANOS), nowNanos);
    }

    private void extend(long durationNanos, long nowNanos) {
        if (durationNanos > remainingNanos(nowNanos)) {
            mActive = true;
            mEndNanos = nowNanos + durationNanos;
        }
    }

    /** Returns the remaining time of the grace period in nanoseconds, 0 if there is none. */
    public long remainingNanos(long nowNanos) {
        return isActive(nowNanos) ? mEndNanos - nowNanos : 0;
    }

    /** Replaces the registered servers and returns the effective registrations by server id. */
    public Map<String, ServerRegistration> update(
            Map<String, ServerRegistration> registered, long nowNanos) {
        if (isActive(nowNanos)) {
            mRegistered.forEach(
                    (id, entry) -> {
                        if (!registered.containsKey(id) && !entry.draining()) {
                            mRetained.put(id, entry);
                        }
                    });
        }
        mRegistered.clear();
        mRegistered.putAll(registered);
        mRetained.keySet().removeAll(registered.keySet());
        return effectiveRegistrations(nowNanos);
    }

    /** Returns the registered servers, and the retained ones while the grace period lasts. */
    public Map<String, ServerRegistration> effectiveRegistrations(long nowNanos) {
        if (!isActive(nowNanos)) {
            mRetained.clear();
        }
        Map<String, ServerRegistration> all = new HashMap<>(mRetained);
        all.putAll(mRegistered);
        return all;
    }

    /** Returns whether any expired registration is retained. */
    public boolean hasRetained() {
        return !mRetained.isEmpty();
    }

    /** Returns the ids of the servers whose expired registrations are retained. */
    public Set<String> retainedIds() {
        return Set.copyOf(mRetained.keySet());
    }

    private boolean isActive(long nowNanos) {
        if (mActive && nowNanos - mEndNanos >= 0) {
            mActive = false;
        }
        return mActive;
    }
}
