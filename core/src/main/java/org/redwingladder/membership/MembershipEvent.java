package org.redwingladder.membership;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/** An event that a {@link MembershipStateMachine} handles. */
public sealed interface MembershipEvent {

    /** The passing of time; expected several times in each heartbeat interval. */
    record Tick() implements MembershipEvent {}

    /**
     * A heartbeat from another process; answered by {@link MembershipEffect.AnswerHeartbeat}.
     *
     * @param heartbeat the message
     */
    record HeartbeatReceived(Heartbeat heartbeat) implements MembershipEvent {}

    /**
     * The answer to a heartbeat that this process sent.
     *
     * @param sent the effect that sent it
     * @param answer the answer
     */
    record HeartbeatAnswered(MembershipEffect.SendHeartbeat sent, HeartbeatAnswer answer)
            implements MembershipEvent {}

    /**
     * The roster row as read from the platform; the read may be stale.
     *
     * @param row the row, null if it does not exist
     */
    record RowRead(@Nullable VersionedRoster row) implements MembershipEvent {}

    /** The platform did not answer a read. */
    record ReadFailed() implements MembershipEvent {}

    /**
     * The write took effect.
     *
     * @param row the written row
     */
    record WriteSucceeded(VersionedRoster row) implements MembershipEvent {}

    /**
     * The compare-and-set failed because the row has another version.
     *
     * @param row the current row, null if it does not exist
     */
    record WriteConflict(@Nullable VersionedRoster row) implements MembershipEvent {}

    /** The write got no definite answer: it may have taken effect or may still do so. */
    record WriteOutcomeUnknown() implements MembershipEvent {}

    /**
     * A release from the previous owner of sites; answered by {@link
     * MembershipEffect.AnswerRelease}.
     *
     * @param release the message
     */
    record ReleaseReceived(SiteRelease release) implements MembershipEvent {}

    /**
     * The new owner's answer to a release.
     *
     * @param sent the effect that sent it
     * @param accepted whether the new owner needs no further copy
     */
    record ReleaseAnswered(MembershipEffect.SendRelease sent, boolean accepted)
            implements MembershipEvent {}

    /**
     * This process has applied other settings.
     *
     * @param version the settings version
     * @param services the services with a site in this zone
     */
    record SettingsChanged(long version, Set<String> services) implements MembershipEvent {
        public SettingsChanged {
            services = Set.copyOf(services);
        }
    }

    /**
     * The hosts that the platform's host list marks as leaving. The list may be stale or wrong and
     * is only a hint.
     *
     * @param hosts the names of the leaving hosts
     */
    record HostsLeaving(Set<String> hosts) implements MembershipEvent {
        public HostsLeaving {
            hosts = Set.copyOf(hosts);
        }
    }

    /** Starts draining: hands over all sites and removes this process from look-ups. */
    record Drain() implements MembershipEvent {}

    /** Leaves the roster; completed by {@link MembershipEffect.Deregistered}. */
    record Deregister() implements MembershipEvent {}

    /**
     * The operator's assurance that a process, and any earlier one of its host, has terminated.
     *
     * @param process the process
     */
    record DeclaredDead(MemberId process) implements MembershipEvent {}
}
