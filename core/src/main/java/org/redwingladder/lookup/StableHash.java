package org.redwingladder.lookup;

/** Hash functions whose results are the same on every host. */
final class StableHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private StableHash() {}

    /** Returns the 64-bit FNV-1a hash of {@code text}, passed through {@link #mix}. */
    static long of(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Returns a hash of both arguments in the open interval from 0 to 1. */
    static double unit(long seed, int number) {
        return ((mix(seed + 0x9e3779b97f4a7c15L * (number + 1L)) >>> 11) + 0.5) * 0x1.0p-53;
    }

    /** Mixes all bits with the finalizer of SplitMix64. */
    static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
