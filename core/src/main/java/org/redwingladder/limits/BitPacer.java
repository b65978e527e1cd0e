package org.redwingladder.limits;

/**
 * Paces the bytes that one site sends over one link.
 *
 * <p>Bytes are sent in chunks of at most {@link #maxChunkBytes()}. Each chunk gets the instant from
 * which on it may be sent. The pace is the link's rate less one largest chunk a second, so that no
 * second carries more than the rate, whatever the sizes of the chunks. A new pacer is empty, as a
 * {@link RateBucket} is. Instants are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class BitPacer {
    /** The lowest rate that can be paced; a lower one carries nothing. */
    static final long MIN_BITS_PER_SECOND = 64;

    private static final long SECOND = 1_000_000_000L;
    private static final long LARGEST_CHUNK_BYTES = 16 * 1024;

    private final long mBitsPerSecond;
    private final long mChunkBytes;
    private final double mNanosPerByte;
    private long mFreeAtNanos;

    private BitPacer(long bitsPerSecond, long nowNanos) {
        mBitsPerSecond = bitsPerSecond;
        // A fifth of a second at most: a slow link would otherwise spend its rate on one chunk.
        mChunkBytes = Math.max(1, Math.min(LARGEST_CHUNK_BYTES, bitsPerSecond / 40));
        mNanosPerByte = 8.0 * SECOND / (bitsPerSecond - 8 * mChunkBytes);
        mFreeAtNanos = nowNanos + chunkNanos(mChunkBytes);
    }

    /**
     * Creates a pacer that has nothing saved up.
     *
     * @param bitsPerSecond the rate, at least {@value #MIN_BITS_PER_SECOND}
     * @throws IllegalArgumentException if the rate is too low
     */
    public static BitPacer createEmpty(long bitsPerSecond, long nowNanos) {
        if (bitsPerSecond < MIN_BITS_PER_SECOND) {
            throw new IllegalArgumentException("rate too low: " + bitsPerSecond);
        }
        return new BitPacer(bitsPerSecond, nowNanos);
    }

    /**
     * Reserves the link for a chunk.
     *
     * @return when to send the chunk, at the earliest {@code nowNanos}
     * @throws IllegalArgumentException if the chunk is empty or too large
     */
    public long reserve(long bytes, long nowNanos) {
        if (bytes < 1 || bytes > mChunkBytes) {
            throw new IllegalArgumentException(
                    "chunk of " + bytes + " bytes; allowed: 1 to " + mChunkBytes);
        }
        long sendAt = Math.max(nowNanos, mFreeAtNanos);
        mFreeAtNanos = sendAt + chunkNanos(bytes);
        return sendAt;
    }

    /** Returns when the link is free for another chunk. */
    public long freeAtNanos() {
        return mFreeAtNanos;
    }

    /** Returns the size of the largest chunk in bytes. */
    public long maxChunkBytes() {
        return mChunkBytes;
    }

    /** Returns the rate in bits a second. */
    public long bitsPerSecond() {
        return mBitsPerSecond;
    }

    private long chunkNanos(long bytes) {
        return (long) Math.ceil(bytes * mNanosPerByte);
    }
}
