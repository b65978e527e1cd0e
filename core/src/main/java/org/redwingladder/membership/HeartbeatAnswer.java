package org.redwingladder.membership;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * Answers a heartbeat.
 *
 * @param host the answering host
 * @param incarnation the answering process
 * @param epoch the latest epoch that the answering process has adopted; 0 if it has none
 * @param settledEpoch the settled epoch of that roster
 * @param accepted whether the heartbeat's epoch is acknowledged
 * @param settingsVersion the settings version that the answering process has applied
 * @param roster the answering process's roster if the sender of the heartbeat lacks it
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record HeartbeatAnswer(
        String host,
        long incarnation,
        long epoch,
        long settledEpoch,
        boolean accepted,
        long settingsVersion,
        @Nullable Roster roster) {

    /** Returns the identity of the answering process. */
    @JsonIgnore
    public MemberId sender() {
        return new MemberId(host, incarnation);
    }
}
