package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Ranks the usable servers of a service for an object by rendezvous hashing, and caches the
 * rankings until the usable servers change. Not thread-safe.
 */
final class ServerRankings {
    private static final int MAX_CACHED_RANKINGS = 4096;

    private final BackendSet mBackends;
    private final Map<String, List<Backend>> mRankings =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, List<Backend>> eldest) {
                    return size() > MAX_CACHED_RANKINGS;
                }
            };
    private long mVersion = -1;

    ServerRankings(BackendSet backends) {
        mBackends = backends;
    }

    /** Returns the usable servers of a service, ranked for an object if a key is given. */
    List<Backend> ranked(String service, @Nullable String key) {
        if (mVersion != mBackends.version()) {
            mRankings.clear();
            mVersion = mBackends.version();
        }
        if (key == null) {
            return mBackends.usable(service);
        }
        return mRankings.computeIfAbsent(service + ' ' + key, k -> rank(service, key));
    }

    private List<Backend> rank(String service, String key) {
        Map<String, Backend> byId = new HashMap<>();
        for (Backend backend : mBackends.usable(service)) {
            byId.put(backend.registration().id(), backend);
        }
        List<Backend> ordered = new ArrayList<>();
        for (String id : RendezvousHash.rank(key, byId.keySet())) {
            ordered.add(byId.get(id));
        }
        return ordered;
    }
}
