package org.redwingladder.membership;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Describes what happened to a {@link RosterMachine}. */
public sealed interface RosterInput {

    /** Reports that time has passed; expected several times in each heartbeat interval. */
    record Tick() implements RosterInput {}

    /**
     * Delivers a heartbeat of another process; answered by {@link RosterEffect.AnswerHeartbeat}.
     *
     * @param heartbeat the message
     */
    record HeartbeatReceived(Heartbeat heartbeat) implements RosterInput {}

    /**
     * Delivers the answer to a heartbeat that this machine sent.
     *
     * @param sent the effect that sent it
     * @param answer the answer
     */
    record HeartbeatAnswered(RosterEffect.SendHeartbeat sent, HeartbeatAnswer answer)
            implements RosterInput {}

    /**
     * Delivers the roster row as read from the platform; the read may be stale.
     *
     * @param row the row, null if there is none
     */
    record RowRead(@Nullable RosterRow row) implements RosterInput {}

    /** Reports that the platform did not answer a read. */
    record ReadFailed() implements RosterInput {}

    /**
     * Reports that the write took effect.
     *
     * @param row the row as it was written
     */
    record WriteDone(RosterRow row) implements RosterInput {}

    /**
     * Reports that the row had another version than the write expected.
     *
     * @param row the row as it is, null if there is none
     */
    record WriteConflict(@Nullable RosterRow row) implements RosterInput {}

    /** Reports that the write may or may not have taken effect, now or later. */
    record WriteLost() implements RosterInput {}

    /**
     * Delivers a release; answered by {@link RosterEffect.AnswerRelease}.
     *
     * @param release the message
     */
    record ReleaseReceived(Release release) implements RosterInput {}

    /**
     * Reports that a release reached the new owner.
     *
     * @param sent the effect that sent it
     * @param accepted whether the new owner needs no other copy of it
     */
    record ReleaseAnswered(RosterEffect.SendRelease sent, boolean accepted)
            implements RosterInput {}

    /**
     * Reports the settings that this process serves by.
     *
     * @param version the settings version
     * @param services the services with a site in this zone
     */
    record SettingsChanged(long version, Set<String> services) implements RosterInput {
        public SettingsChanged {
            services = Set.copyOf(services);
        }
    }

    /**
     * Reports which hosts the platform's list names as leaving; only a hint.
     *
     * @param hosts the names of the leaving hosts
     */
    record HostsLeaving(Set<String> hosts) implements RosterInput {
        public HostsLeaving {
            hosts = Set.copyOf(hosts);
        }
    }

    /** Asks to hand over all sites and to be named in no look-up any more. */
    record Leave() implements RosterInput {}

    /** Asks to be dropped from the roster; answered by {@link RosterEffect.Left}. */
    record Depart() implements RosterInput {}

    /**
     * Reports that the operator vouches that a process, and any earlier one of its host, has ended.
     *
     * @param process the process
     */
    record DeclaredDead(MemberId process) implements RosterInput {}
}
