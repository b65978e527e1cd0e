package org.redwingladder.steering;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Keeps registrations that lapsed while the store was away until their servers could return.
 *
 * <p>Registrations expire while servers cannot reach the store. Servers that live are back within
 * about two seconds of the store's return; dropping their entries at once would leave services
 * without any server. Not thread-safe.
 */
public final class LapseHold {
    /** Time after the store's return in which living servers register again. */
    static final long RETURN_NANOS = 2_000_000_000L;

    private final Map<String, ServerEntry> mCurrent = new HashMap<>();
    private final Map<String, ServerEntry> mHeld = new HashMap<>();
    private boolean mAway;
    private long mHoldUntilNanos;
    private boolean mHolding;

    private LapseHold() {}

    /** Creates a hold without entries. */
    public static LapseHold create() {
        return new LapseHold();
    }

    /** Notes that the store does not answer. */
    public void storeLost() {
        mAway = true;
    }

    /** Notes that the store answers. */
    public void storeAnswers(long nowNanos) {
        if (mAway) {
            mAway = false;
            mHolding = true;
            mHoldUntilNanos = nowNanos + RETURN_NANOS;
        }
    }

    /** Notes that another host, which passes changes on, waits for servers to return. */
    public void othersHold(long nowNanos) {
        if (!holding(nowNanos)) {
            mHolding = true;
            mHoldUntilNanos = nowNanos + RETURN_NANOS;
        }
    }

    /** Returns whether entries that lapse now are held. */
    public boolean active(long nowNanos) {
        return holding(nowNanos);
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

    /** Returns whether this host's last call to the store failed. */
    public boolean storeAway() {
        return mAway;
    }

    private boolean holding(long nowNanos) {
        if (mHolding && nowNanos - mHoldUntilNanos >= 0) {
            mHolding = false;
        }
        return mAway || mHolding;
    }
}
