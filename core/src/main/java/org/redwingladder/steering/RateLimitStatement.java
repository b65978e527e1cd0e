package org.redwingladder.steering;

/** What an answer of a backend server says about the request rate that the server accepts. */
public sealed interface RateLimitStatement {

    /**
     * The server accepts a limited rate.
     *
     * @param perSecond the requests per second from all hosts together, 0 or more
     */
    record Limited(double perSecond) implements RateLimitStatement {
        public Limited {
            if (!(perSecond >= 0) || Double.isInfinite(perSecond)) {
                throw new IllegalArgumentException("not a rate limit: " + perSecond);
            }
        }
    }

    /** The answer states no limit. */
    record Unlimited() implements RateLimitStatement {}

    /**
     * The answer states a limit that cannot be read, which leaves the one in force unchanged.
     *
     * @param text the value as it was received
     */
    record Unreadable(String text) implements RateLimitStatement {}
}
