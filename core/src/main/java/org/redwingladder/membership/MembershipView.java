package org.redwingladder.membership;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * An immutable view of a {@link MembershipStateMachine}'s state for other threads.
 *
 * @param roster the adopted roster, null before the first one is adopted
 * @param member whether this process is a member
 * @param sites the services whose sites are active on this process
 * @param leaseExpiresAt when the quorum lease expires, in monotonic milliseconds; {@code
 *     Long.MIN_VALUE} if this process has none
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
