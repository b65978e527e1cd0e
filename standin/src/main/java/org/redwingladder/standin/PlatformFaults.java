package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Describes what goes wrong at the platform.
 *
 * @param down connections are closed without an answer, and nothing is carried out
 * @param delayMillis how long each answer is held after its operation was carried out
 * @param loseAnswersAfterWrite how many of the next writes take effect but lose their answer; -1
 *     for all
 * @param staleHosts the host list stays as it was when the fault began
 * @param staleReads rows and objects read as they were when the fault began
 * @param frozen requests are accepted and held; they are carried out when the fault ends
 * @param refuseFrom callers whose connections are closed: IP addresses of callers or {@code
 *     ip:port} of one of the platform's own listeners
 */
public record PlatformFaults(
        boolean down,
        long delayMillis,
        int loseAnswersAfterWrite,
        boolean staleHosts,
        boolean staleReads,
        boolean frozen,
        @Nullable List<String> refuseFrom) {
    /** Stands for a platform without faults. */
    public static final PlatformFaults NONE =
            new PlatformFaults(false, 0, 0, false, false, false, List.of());

    public PlatformFaults {
        refuseFrom = refuseFrom == null ? List.of() : List.copyOf(refuseFrom);
    }

    /** Returns these faults with {@code down} changed. */
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

    /** Returns these faults with {@code delayMillis} changed. */
    public PlatformFaults withDelayMillis(long value) {
        return new PlatformFaults(
                down, value, loseAnswersAfterWrite, staleHosts, staleReads, frozen, refuseFrom);
    }

    /** Returns these faults with {@code loseAnswersAfterWrite} changed. */
    public PlatformFaults withLostAnswers(int count) {
        return new PlatformFaults(
                down, delayMillis, count, staleHosts, staleReads, frozen, refuseFrom);
    }

    /** Returns these faults with {@code staleHosts} changed. */
    public PlatformFaults withStaleHosts(boolean value) {
        return new PlatformFaults(
                down, delayMillis, loseAnswersAfterWrite, value, staleReads, frozen, refuseFrom);
    }

    /** Returns these faults with {@code staleReads} changed. */
    public PlatformFaults withStaleReads(boolean value) {
        return new PlatformFaults(
                down, delayMillis, loseAnswersAfterWrite, staleHosts, value, frozen, refuseFrom);
    }

    /** Returns these faults with {@code frozen} changed. */
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

    /** Returns these faults with {@code refuseFrom} changed. */
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
     * Returns the faults that {@code node} describes; members that are absent mean no fault.
     *
     * @throws IOException if a member is unknown or has a wrong type
     */
    static PlatformFaults parse(JsonNode node) throws IOException {
        ObjectNode normal = Json.normalizeCounts(node, "loseAnswersAfterWrite");
        return Json.MAPPER.treeToValue(normal, PlatformFaults.class);
    }
}
