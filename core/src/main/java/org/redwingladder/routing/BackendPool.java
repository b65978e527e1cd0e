package org.redwingladder.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Holds the backend servers of a site and their state. Not thread-safe. */
public final class BackendPool {
    private final Map<String, Backend> mByName = new LinkedHashMap<>();
    private long mRampNanos;

    private BackendPool() {}

    /** Creates the pool of a new owner, for which all backend servers are warm. */
    static BackendPool create(SiteConfig config, long nowNanos) {
        BackendPool pool = new BackendPool();
        pool.configure(config, nowNanos);
        return pool;
    }

    /** Follows another settings version; backend servers that are new in it start cold. */
    void configure(SiteConfig config, long nowNanos) {
        boolean first = mByName.isEmpty();
        Map<String, Backend> old = new HashMap<>(mByName);
        mByName.clear();
        mRampNanos = config.rampNanos();
        for (BackendSpec spec : config.backends()) {
            Backend backend = old.get(spec.name());
            if (backend == null) {
                backend = new Backend(spec);
                if (!first) {
                    backend.startRamp(nowNanos);
                }
            } else if (backend.mSpec.draining() && !spec.draining()) {
                backend.startRamp(nowNanos);
            }
            backend.mSpec = spec;
            mByName.put(spec.name(), backend);
        }
    }

    @Nullable Backend find(String name) {
        return mByName.get(name);
    }

    /** Returns all backend servers in the order of the settings. */
    List<Backend> all() {
        return new ArrayList<>(mByName.values());
    }

    Iterable<Backend> each() {
        return mByName.values();
    }

    int usableSlots(Backend backend, long nowNanos) {
        return backend.usableSlots(mRampNanos, nowNanos);
    }

    boolean hasFreeSlot(Backend backend, long nowNanos) {
        return backend.mInFlight < usableSlots(backend, nowNanos);
    }

    /** Returns the slots of the backend servers that take new work. */
    int servingSlots(long nowNanos) {
        int slots = 0;
        for (Backend backend : mByName.values()) {
            if (backend.serving()) {
                slots += usableSlots(backend, nowNanos);
            }
        }
        return slots;
    }

    /** Returns the serving slots, those of slow backend servers counted by what they achieve. */
    double effectiveSlots(long nowNanos) {
        double slots = 0;
        for (Backend backend : mByName.values()) {
            if (backend.serving()) {
                slots += usableSlots(backend, nowNanos) / backend.slowness();
            }
        }
        return slots;
    }

    /** Returns the free slots of the backend servers that take new work. */
    int freeSlots(long nowNanos) {
        int slots = 0;
        for (Backend backend : mByName.values()) {
            if (backend.serving()) {
                slots += Math.max(0, usableSlots(backend, nowNanos) - backend.mInFlight);
            }
        }
        return slots;
    }

    /** Returns whether another backend server may be ejected: at least half stay in. */
    boolean mayEject() {
        int present = 0;
        int in = 0;
        for (Backend backend : mByName.values()) {
            if (!backend.leaving()) {
                present++;
                if (!backend.mEjected) {
                    in++;
                }
            }
        }
        return 2 * (in - 1) >= present;
    }

    /** Returns the state of each backend server. */
    List<SiteStatus.Backend> status(long nowNanos) {
        List<SiteStatus.Backend> status = new ArrayList<>();
        mByName.forEach(
                (name, backend) -> {
                    SiteStatus.State state = SiteStatus.State.SERVING;
                    if (backend.leaving()) {
                        state = SiteStatus.State.LEAVING;
                    } else if (backend.mEjected) {
                        state = SiteStatus.State.EJECTED;
                    } else if (backend.ramping()) {
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
