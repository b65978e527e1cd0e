package org.redwingladder.steering;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Keeps registrations that lapsed while the store was away until their servers could return.
 *
 * <p>Registrations expire while servers cannot reach the store. Servers that live are back within
 * about two seconds of the store's return; dropping their entries at once would leave services
 * without any server. Only an outage that this host saw end, or one that another host passes on,
 * holds entries, and never for longer: a host that the store merely turns away learns from others
 * which servers left. Not thread-safe.
 */
public final class LapseHold {
    /** Time after the store's return in which living servers register again. */
    static final long RETURN_NANOS = 2_000_000_000L;

    /** One failed call may be a broken connection; an outage fails the next call too. */
    private static final int OUTAGE_FAILURES = 2;

    private final Map<String, ServerEntry> mCurrent = new HashMap<>();
    private final Map<String, ServerEntry> mHeld = new HashMap<>();
    private int mFailures;
    private long mHoldUntilNanos;
    private boolean mHolding;

    private LapseHold() {}

    /** Creates a hold without entries. */
    public static LapseHold create() {
        return new LapseHold();
    }

    /** Notes that a call to the store failed. */
    public void storeFailed() {
        mFailures++;
    }

    /** Notes that this host does not ask the store any more, so that it cannot see it return. */
    public void storeNotAsked() {
        mFailures = 0;
    }

    /** Notes that the store answers. */
    public void storeAnswers(long nowNanos) {
        if (mFailures >= OUTAGE_FAILURES) {
            hold(RETURN_NANOS, nowNanos);
        }
        mFailures = 0;
    }

    /**
     * Notes that another host, which passes changes on, waits for servers to return.
     *
     * @param leftNanos for how much longer it waits
     */
    public void othersHold(long leftNanos, long nowNanos) {
        hold(Math.min(leftNanos, RETURN_NANOS), nowNanos);
    }

    private void hold(long leftNanos, long nowNanos) {
        if (leftNanos > leftNanos(nowNanos)) {
            mHolding = true;
            mHoldUntilNanos = nowNanos + leftNanos;
        }
    }

    /** Returns for how much longer entries that lapse now are held, 0 if they are not. */
    public long leftNanos(long nowNanos) {
        return holding(nowNanos) ? mHoldUntilNanos - nowNanos : 0;
    }

    /** Takes over the registered servers and returns those to use. */
    public Map<String, ServerEntry> update(Map<String, ServerEntry> registered, long nowNanos) {
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

    /** Returns the servers to use; entries whose time is over are left out. */
    public Map<String, ServerEntry> current(long nowNanos) {
        if (!holding(nowNanos)) {
            mHeld.clear();
        }
        Map<String, ServerEntry> all = new HashMap<>(mHeld);
        all.putAll(mCurrent);
        return all;
    }

    /** Returns whether entries are held. */
    public boolean holdsAny() {
        return !mHeld.isEmpty();
    }

    /** Returns the ids of the servers whose entries are held. */
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
