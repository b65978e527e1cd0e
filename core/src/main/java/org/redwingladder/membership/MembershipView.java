package org.redwingladder.membership;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Shows the state of a {@link MembershipStateMachine} to other threads.
 *
 * @param roster the adopted roster, null before the first one
 * @param member whether this process is listed in it
 * @param sites the services whose sites this process has started
 * @param confirmedUntil until when it may send for them, in monotonic milliseconds; {@code
 *     Long.MIN_VALUE} if it may not
 */
public record MembershipView(
        @Nullable Roster roster, boolean member, Set<String> sites, long leaseExpiresAt) {

    public MembershipView {
        sites = Set.copyOf(sites);
    }

    /** Returns whether this process may send a request of {@code service} at {@code now}. */
    public boolean maySend(String service, long now) {
        return now < leaseExpiresAt && sites.contains(service);
    }
}
