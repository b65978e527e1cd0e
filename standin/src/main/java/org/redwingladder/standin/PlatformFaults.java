package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Faults to inject at the platform.
 *
 * @param down whether connections are closed without a response and operations are not executed
 * @param delayMillis how long each response is delayed after its operation was executed, in
 *     milliseconds
 * @param loseAnswersAfterWrite the number of subsequent writes that take effect but whose response
 *     is dropped; -1 for all
 * @param staleHosts whether the host list is served as of the time when the fault was injected
 * @param staleReads whether rows and objects are served as of the time when the fault was injected
 * @param frozen whether requests are accepted but suspended; they are executed when the fault is
 *     cleared
 * @param refuseFrom clients whose connections are closed: IP addresses of clients, or {@code
 *     ip:port} of one of the platform's listeners for all its clients
 */
public record PlatformFaults(
        boolean down,
        long delayMillis,
        int loseAnswersAfterWrite,
        boolean staleHosts,
        boolean staleReads,
        boolean frozen,
        @Nullable List<String> refuseFrom) {
    /** No faults. */
    public static final PlatformFaults NONE =
            new PlatformFaults(false, 0, 0, false, false, false, List.of());

    public PlatformFaults {
        refuseFrom = refuseFrom == null ? List.of() : List.copyOf(refuseFrom);
    }

    /** Returns a copy with {@code down} replaced. */
    public PlatformFaults withDown(boolean value) {
        return new PlatformFaults(
                value,
                delayMillis,
                loseAnswersAfterWrite,
                staleHosts,
                staleReads,
                frozen,
                refuseFrom);
    }

    /** Returns a copy with {@code delayMillis} replaced. */
    public PlatformFaults withDelayMillis(long value) {
        return new PlatformFaults(
                down, value, loseAnswersAfterWrite, staleHosts, staleReads, frozen, refuseFrom);
    }

    /** Returns a copy with {@code loseAnswersAfterWrite} replaced. */
    public PlatformFaults withLostAnswers(int count) {
        return new PlatformFaults(
                down, delayMillis, count, staleHosts, staleReads, frozen, refuseFrom);
    }

    /** Returns a copy with {@code staleHosts} replaced. */
    public PlatformFaults withStaleHosts(boolean value) {
        return new PlatformFaults(
                down, delayMillis, loseAnswersAfterWrite, value, staleReads, frozen, refuseFrom);
    }

    /** Returns a copy with {@code staleReads} replaced. */
    public PlatformFaults withStaleReads(boolean value) {
        return new PlatformFaults(
                down, delayMillis, loseAnswersAfterWrite, staleHosts, value, frozen, refuseFrom);
    }

    /** Returns a copy with {@code frozen} replaced. */
    public PlatformFaults withFrozen(boolean value) {
        return new PlatformFaults(
                down,
                delayMillis,
                loseAnswersAfterWrite,
                staleHosts,
                staleReads,
                value,
                refuseFrom);
    }

    /** Returns a copy with {@code refuseFrom} replaced. */
    public PlatformFaults withRefuseFrom(List<String> addresses) {
        return new PlatformFaults(
                down,
                delayMillis,
                loseAnswersAfterWrite,
                staleHosts,
                staleReads,
                frozen,
                addresses);
    }

    /**
     * Parses faults from {@code node}; an absent member means that the fault is not injected.
     *
     * @throws IOException if a member is unknown or has a wrong type
     */
    static PlatformFaults parse(JsonNode node) throws IOException {
        ObjectNode normal = Json.normalizeCounts(node, "loseAnswersAfterWrite");
        return Json.MAPPER.treeToValue(normal, PlatformFaults.class);
    }
}
