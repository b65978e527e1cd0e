package org.redwingladder.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The backend servers of a site and their state. Not thread-safe. */
public final class BackendPool {
    private final Map<String, Backend> mByName = new LinkedHashMap<>();
    private long mRampNanos;

    private BackendPool() {}

    /** Creates the pool of a new owner, where no backend server is in slow start. */
    static BackendPool create(SiteConfig config, long nowNanos) {
        BackendPool pool = new BackendPool();
        pool.configure(config, nowNanos);
        return pool;
    }

    /** Applies a settings version; backend servers that it adds begin a slow start. */
    void configure(SiteConfig config, long nowNanos) {
        boolean newPool = mByName.isEmpty();
        Map<String, Backend> old = new HashMap<>(mByName);
        mByName.clear();
        mRampNanos = config.rampNanos();
        for (BackendSpec spec : config.backends()) {
            Backend backend = old.get(spec.name());
            if (backend == null) {
                backend = new Backend(spec);
                if (!newPool) {
                    backend.beginSlowStart(nowNanos);
                }
            } else if (backend.mSpec.draining() && !spec.draining()) {
                backend.beginSlowStart(nowNanos);
            }
            backend.mSpec = spec;
            mByName.put(spec.name(), backend);
        }
    }

    @Nullable Backend find(String name) {
        return mByName.get(name);
    }

    /** Returns a copy of the list of backend servers, in the order of the settings. */
    List<Backend> all() {
        return new ArrayList<>(mByName.values());
    }

    Iterable<Backend> backends() {
        return mByName.values();
    }

    int usableSlots(Backend backend, long nowNanos) {
        return backend.usableSlots(mRampNanos, nowNanos);
    }

    boolean hasFreeSlot(Backend backend, long nowNanos) {
        return backend.mInFlight < usableSlots(backend, nowNanos);
    }

    /** Returns the usable slots of the backend servers that accept new work. */
    int servingSlots(long nowNanos) {
        int slots = 0;
        for (Backend backend : mByName.values()) {
            if (backend.serving()) {
                slots += usableSlots(backend, nowNanos);
            }
        }
        return slots;
    }

    /** Returns the usable slots, each divided by the slowdown of its backend server. */
    double effectiveSlots(long nowNanos) {
        double slots = 0;
        for (Backend backend : mByName.values()) {
            if (backend.serving()) {
                slots += usableSlots(backend, nowNanos) / backend.slowdown();
            }
        }
        return slots;
    }

    /** Returns the free slots of the backend servers that accept new work. */
    int freeSlots(long nowNanos) {
        int slots = 0;
        for (Backend backend : mByName.values()) {
            if (backend.serving()) {
                slots += Math.max(0, usableSlots(backend, nowNanos) - backend.mInFlight);
            }
        }
        return slots;
    }

    /** Returns whether one more ejection leaves at least half of the available servers. */
    boolean canEject() {
        int available = 0;
        int notEjected = 0;
        for (Backend backend : mByName.values()) {
            if (!backend.unavailable()) {
                available++;
                if (!backend.mEjected) {
                    notEjected++;
                }
            }
        }
        return 2 * (notEjected - 1) >= available;
    }

    /** Returns the state of each backend server. */
    List<SiteStatus.Backend> status(long nowNanos) {
        List<SiteStatus.Backend> status = new ArrayList<>();
        mByName.forEach(
                (name, backend) -> {
                    SiteStatus.State state = SiteStatus.State.SERVING;
                    if (backend.unavailable()) {
                        state = SiteStatus.State.LEAVING;
                    } else if (backend.mEjected) {
                        state = SiteStatus.State.EJECTED;
                    } else if (backend.inSlowStart()) {
                        state = SiteStatus.State.RAMPING;
                    }
                    status.add(
                            new SiteStatus.Backend(
                                    name,
                                    state,
                                    backend.mInFlight,
                                    usableSlots(backend, nowNanos)));
                });
        return status;
    }
}
