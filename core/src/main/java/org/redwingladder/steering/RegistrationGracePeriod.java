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
 * an outage, or when a peer reports its own grace period. A host whose calls the store rejects
 * while it serves other hosts starts none, because these report which servers left. A registration
 * is retained until the end of the grace period in which it expired; a later period, such as that
 * of a host which recovers later, does not prolong it. Not thread-safe.
 */
public final class RegistrationGracePeriod {
    /** Time after the store's recovery within which running servers register again. */
    static final long GRACE_NANOS = 2_000_000_000L;

    /** A single failed call may be a broken connection; in an outage the next call fails too. */
    private static final int CONSECUTIVE_FAILURES_OF_OUTAGE = 2;

    /**
     * The shortest time without any sign of the store after which there was an outage. Shorter than
     * the several seconds of silence after which registrations expire, and longer than the time
     * between two proofs of other hosts.
     */
    private static final long MIN_OUTAGE_NANOS = 2_000_000_000L;

    private final Map<String, ServerRegistration> mRegistered = new HashMap<>();
    private final Map<String, RetainedRegistration> mRetained = new HashMap<>();
    private int mConsecutiveFailures;
    private long mEndNanos;
    private boolean mActive;
    private boolean mServiceSeen;
    private long mServiceNanos;
    private boolean mOutageSeen;
    private long mOutageEndNanos;

    private record RetainedRegistration(ServerRegistration registration, long untilNanos) {}

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

    /** Records that the store served another host at an instant. */
    public void recordServiceToOthers(long servedNanos) {
        recordService(servedNanos);
    }

    private void recordService(long nanos) {
        boolean outageEnds =
                mServiceSeen
                        ? nanos - mServiceNanos >= MIN_OUTAGE_NANOS
                        : mConsecutiveFailures >= CONSECUTIVE_FAILURES_OF_OUTAGE;
        if (outageEnds) {
            mOutageSeen = true;
            mOutageEndNanos = nanos;
        }
        if (!mServiceSeen || nanos - mServiceNanos > 0) {
            mServiceNanos = nanos;
        }
        mServiceSeen = true;
    }

    /**
     * Records a successful call to the store. After an outage it starts a grace period, which ends
     * a while after the first sign of the store.
     */
    public void recordStoreSuccess(long nowNanos) {
        recordService(nowNanos);
        if (mOutageSeen && mConsecutiveFailures >= CONSECUTIVE_FAILURES_OF_OUTAGE) {
            long leftNanos = mOutageEndNanos + GRACE_NANOS - nowNanos;
            if (leftNanos > 0) {
                extend(leftNanos, nowNanos);
            }
        }
        mConsecutiveFailures = 0;
    }

    /** Records a restore of the store, after which servers that it lost register again. */
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
                            mRetained.put(id, new RetainedRegistration(entry, mEndNanos));
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
        mRetained.values().removeIf(retained -> nowNanos - retained.untilNanos() >= 0);
        Map<String, ServerRegistration> all = new HashMap<>(mRegistered);
        mRetained.forEach((id, retained) -> all.put(id, retained.registration()));
        return all;
    }

    /** Returns the time until the first retained registration is dropped; 0 if none is retained. */
    public long nanosUntilRelease(long nowNanos) {
        return mRetained.values().stream()
                .mapToLong(retained -> Math.max(0, retained.untilNanos() - nowNanos))
                .min()
                .orElse(0);
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
