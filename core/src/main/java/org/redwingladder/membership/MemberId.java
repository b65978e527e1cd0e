package org.redwingladder.membership;

/**
 * Identifies one process of a host.
 *
 * @param host the host's name
 * @param incarnation the process of that host
 */
public record MemberId(String host, long incarnation) {

    /** Returns whether this is a later process of the same host than {@code other}. */
    public boolean replaces(MemberId other) {
        return host.equals(other.host) && incarnation > other.incarnation;
    }

    @Override
    public String toString() {
        return host + "/" + incarnation;
    }
}
