package org.redwingladder.steering;

import java.util.ArrayDeque;
import java.util.Deque;
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
     * Registrations expire after several seconds without the store, and hosts recover within this
     * time of each other. If the store served another host in the time before, there was no outage.
     */
    private static final long RECOVERY_SPREAD_NANOS = 1_500_000_000L;

    private static final long SERVICE_MEMORY_NANOS = 2 * RECOVERY_SPREAD_NANOS;

    /** The resolution at which service to other hosts is remembered. */
    private static final long SERVICE_RESOLUTION_NANOS = 100_000_000L;

    private final Map<String, ServerRegistration> mRegistered = new HashMap<>();
    private final Map<String, RetainedRegistration> mRetained = new HashMap<>();
    private int mConsecutiveFailures;
    private long mEndNanos;
    private boolean mActive;
    private final Deque<Long> mServiceToOthersNanos = new ArrayDeque<>();

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

    /** Records that a peer without a grace period forwards what the store has just told it. */
    public void recordServiceToOthers(long nowNanos) {
        Long last = mServiceToOthersNanos.peekLast();
        if (last == null || nowNanos - last >= SERVICE_RESOLUTION_NANOS) {
            mServiceToOthersNanos.addLast(nowNanos);
        }
        forgetService(nowNanos);
    }

    private void forgetService(long nowNanos) {
        mServiceToOthersNanos.removeIf(served -> nowNanos - served > SERVICE_MEMORY_NANOS);
    }

    /** Returns whether the store served others when no host can have recovered from an outage. */
    private boolean servedOthersThroughout(long nowNanos) {
        forgetService(nowNanos);
        Long first = mServiceToOthersNanos.peekFirst();
        return first != null && nowNanos - first >= RECOVERY_SPREAD_NANOS;
    }

    /** Records a successful call to the store, which starts a grace period after an outage. */
    public void recordStoreSuccess(long nowNanos) {
        if (mConsecutiveFailures >= CONSECUTIVE_FAILURES_OF_OUTAGE
                && !servedOthersThroughout(nowNanos)) {
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
