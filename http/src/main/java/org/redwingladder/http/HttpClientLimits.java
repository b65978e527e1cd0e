package org.redwingladder.http;

/**
 * Bounds what a caller holds.
 *
 * @param maxConnectionsPerAddress the largest number of open connections to one address
 * @param idleMillis how long an unused connection stays open
 */
public record HttpClientLimits(int maxConnectionsPerAddress, int idleMillis) {

    /** The limit up to which an answer is read whole before the first byte goes out. */
    public static final int DEFAULT_MAX_BUFFERED_BYTES = 64 * 1024;

    public HttpClientLimits {
        if (maxConnectionsPerAddress < 1 || idleMillis < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /** Returns the limits used where no others are configured. */
    public static HttpClientLimits defaults() {
        return new HttpClientLimits(512, 30_000);
    }
}
