package org.redwingladder.lookup;

/**
 * Maps each client block to a primary and a secondary site of one service.
 *
 * <p>A table never changes; an update makes a new one that keeps every assignment it can.
 */
public final class BlockTable {
    /** Stands for no site. */
    public static final int NONE = -1;

    private final short[] mPrimary;
    private final short[] mSecondary;

    BlockTable(short[] primary, short[] secondary) {
        mPrimary = primary;
        mSecondary = secondary;
    }

    /** Returns the number of the primary site of {@code block}, or {@link #NONE}. */
    public int primary(int block) {
        return mPrimary[block];
    }

    /** Returns the number of the secondary site of {@code block}, or {@link #NONE}. */
    public int secondary(int block) {
        return mSecondary[block];
    }

    /** Returns the bytes that the assignments take. */
    public long bytes() {
        return 2L * (mPrimary.length + mSecondary.length);
    }
}
