package org.redwingladder.limits;

/**
 * Paces the bytes that one site sends over one link between regions.
 *
 * <p>Bytes are sent in chunks of at most {@link #maxChunkBytes()}, and each chunk is assigned the
 * earliest instant at which it may be sent. Chunks are paced at the link's rate less one maximum
 * chunk per second, so that no window of one second carries more than the rate for any mix of chunk
 * sizes. Like a {@link TokenBucket}, a new pacer starts without a burst. Instants are nanoseconds
 * of one monotonic clock. Not thread-safe.
 */
public final class LinkPacer {
    /** The lowest rate that can be paced; a link with a lower rate is closed. */
    static final long MIN_BITS_PER_SECOND = 64;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long CHUNK_LIMIT_BYTES = 16 * 1024;

    private final long mBitsPerSecond;
    private final long mMaxChunkBytes;
    private final double mNanosPerByte;
    private long mFreeAtNanos;

    private LinkPacer(long bitsPerSecond, long nowNanos) {
        mBitsPerSecond = bitsPerSecond;
        // A chunk occupies at most a fifth of a second; a larger one would use up a slow link.
        mMaxChunkBytes = Math.max(1, Math.min(CHUNK_LIMIT_BYTES, bitsPerSecond / 40));
        mNanosPerByte = 8.0 * NANOS_PER_SECOND / (bitsPerSecond - 8 * mMaxChunkBytes);
        mFreeAtNanos = nowNanos + chunkNanos(mMaxChunkBytes);
    }

    /**
     * Creates a pacer whose first chunk may be sent after the time that one maximum chunk takes.
     *
     * @param bitsPerSecond the rate in bits per second, at least {@value #MIN_BITS_PER_SECOND}
     * @throws IllegalArgumentException if the rate is too low
     */
    public static LinkPacer createEmpty(long bitsPerSecond, long nowNanos) {
        if (bitsPerSecond < MIN_BITS_PER_SECOND) {
            throw new IllegalArgumentException(
                    "rate below the minimum of 64 bits per second: " + bitsPerSecond);
        }
        return new LinkPacer(bitsPerSecond, nowNanos);
    }

    /**
     * Reserves the link for a chunk of {@code bytes}.
     *
     * @return the instant at which to send the chunk, not before {@code nowNanos}
     * @throws IllegalArgumentException if {@code bytes} is not between 1 and {@link
     *     #maxChunkBytes()}
     */
    public long reserve(long bytes, long nowNanos) {
        if (bytes < 1 || bytes > mMaxChunkBytes) {
            throw new IllegalArgumentException(
                    "chunk of " + bytes + " bytes; allowed: 1 to " + mMaxChunkBytes);
        }
        long sendAt = Math.max(nowNanos, mFreeAtNanos);
        mFreeAtNanos = sendAt + chunkNanos(bytes);
        return sendAt;
    }

    /** Returns the earliest instant at which another chunk may be sent. */
    public long freeAtNanos() {
        return mFreeAtNanos;
    }

    public long maxChunkBytes() {
        return mMaxChunkBytes;
    }

    public long bitsPerSecond() {
        return mBitsPerSecond;
    }

    private long chunkNanos(long bytes) {
        return (long) Math.ceil(bytes * mNanosPerByte);
    }
}
