package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Rendezvous (highest random weight) hashing: ranks names by their weight for a key, with the same
 * result on all hosts.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Returns the names in descending order of their weight for {@code key}. */
    public static List<String> rank(String key, Collection<String> names) {
        Map<String, Long> weights = new HashMap<>();
        for (String name : names) {
            weights.put(name, weight(key, name));
        }
        List<String> ordered = new ArrayList<>(names);
        ordered.sort(
                Comparator.<String>comparingLong(weights::get)
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()));
        return ordered;
    }

    /**
     * Returns the position of a name in {@link #rank}, or -1 if it is not before {@code limit}. Is
     * faster than ranking all names.
     *
     * @param names the names to rank, which contain {@code name}
     */
    static int positionBefore(int limit, String key, String name, Collection<String> names) {
        long own = weight(key, name);
        int position = 0;
        for (String other : names) {
            long weight = weight(key, other);
            if (weight > own || (weight == own && other.compareTo(name) < 0)) {
                position++;
                if (position >= limit) {
                    return -1;
                }
            }
        }
        return position;
    }

    /**
     * Returns one of the names, each for a fraction of the keys in proportion to its share, or null
     * if no share is positive. A change of the shares remaps only the minimum number of keys.
     */
    public static @Nullable String pickWeighted(String key, Map<String, Double> shares) {
        String best = null;
        double bestScore = 0;
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            if (share.getValue() > 0) {
                double unit = ((weight(key, share.getKey()) >>> 11) + 0.5) * 0x1.0p-53;
                double score = -share.getValue() / Math.log(unit);
                if (best == null || score > bestScore) {
                    best = share.getKey();
                    bestScore = score;
                }
            }
        }
        return best;
    }

    private static long weight(String key, String name) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ 0xff) * FNV_PRIME;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        long z = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
