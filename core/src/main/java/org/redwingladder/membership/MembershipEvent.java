package org.redwingladder.membership;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Describes what happened to a {@link MembershipStateMachine}. */
public sealed interface MembershipEvent {

    /** Reports that time has passed; expected several times in each heartbeat interval. */
    record Tick() implements MembershipEvent {}

    /**
     * Delivers a heartbeat of another process; answered by {@link MembershipEffect.AnswerHeartbeat}.
     *
     * @param heartbeat the message
     */
    record HeartbeatReceived(Heartbeat heartbeat) implements MembershipEvent {}

    /**
     * Delivers the answer to a heartbeat that this machine sent.
     *
     * @param sent the effect that sent it
     * @param answer the answer
     */
    record HeartbeatAnswered(MembershipEffect.SendHeartbeat sent, HeartbeatAnswer answer)
            implements MembershipEvent {}

    /**
     * Delivers the roster row as read from the platform; the read may be stale.
     *
     * @param row the row, null if there is none
     */
    record RowRead(@Nullable VersionedRoster row) implements MembershipEvent {}

    /** Reports that the platform did not answer a read. */
    record ReadFailed() implements MembershipEvent {}

    /**
     * Reports that the write took effect.
     *
     * @param row the row as it was written
     */
    record WriteSucceeded(VersionedRoster row) implements MembershipEvent {}

    /**
     * Reports that the row had another version than the write expected.
     *
     * @param row the row as it is, null if there is none
     */
    record WriteConflict(@Nullable VersionedRoster row) implements MembershipEvent {}

    /** Reports that the write may or may not have taken effect, now or later. */
    record WriteOutcomeUnknown() implements MembershipEvent {}

    /**
     * Delivers a release; answered by {@link MembershipEffect.AnswerRelease}.
     *
     * @param release the message
     */
    record ReleaseReceived(SiteRelease release) implements MembershipEvent {}

    /**
     * Reports that a release reached the new owner.
     *
     * @param sent the effect that sent it
     * @param accepted whether the new owner needs no other copy of it
     */
    record ReleaseAnswered(MembershipEffect.SendRelease sent, boolean accepted)
            implements MembershipEvent {}

    /**
     * Reports the settings that this process serves by.
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
     * Reports which hosts the platform's list names as leaving; only a hint.
     *
     * @param hosts the names of the leaving hosts
     */
    record HostsLeaving(Set<String> hosts) implements MembershipEvent {
        public HostsLeaving {
            hosts = Set.copyOf(hosts);
        }
    }

    /** Asks to hand over all sites and to be named in no look-up any more. */
    record Drain() implements MembershipEvent {}

    /** Asks to be dropped from the roster; answered by {@link MembershipEffect.Deregistered}. */
    record Deregister() implements MembershipEvent {}

    /**
     * Reports that the operator vouches that a process, and any earlier one of its host, has ended.
     *
     * @param process the process
     */
    record DeclaredDead(MemberId process) implements MembershipEvent {}
}
