package org.redwingladder.entry;

/**
 * A version of the platform's store.
 *
 * <p>A store that is restored from a copy raises its era and counts its versions from that of the
 * copy again. A number therefore identifies a version only within its era, and each version of a
 * later era is newer than all of an earlier one.
 *
 * @param era the era, 0 if the store states none
 * @param number the version within the era
 */
public record StoreVersion(long era, long number) implements Comparable<StoreVersion> {
    /** The version before the first one of any store. */
    public static final StoreVersion NONE = new StoreVersion(0, 0);

    /** Rejects negative eras. */
    public StoreVersion {
        if (era < 0) {
            throw new IllegalArgumentException("era must not be negative: " + era);
        }
    }

    /** Returns whether this version is newer than {@code other}. */
    public boolean isNewerThan(StoreVersion other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(StoreVersion other) {
        int eras = Long.compare(era, other.era);
        return eras != 0 ? eras : Long.compare(number, other.number);
    }
}
