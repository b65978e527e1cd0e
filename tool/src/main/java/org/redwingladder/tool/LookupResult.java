package org.redwingladder.tool;

import org.redwingladder.api.LookupResponse;
import org.redwingladder.api.Refusal;

/** Tells what became of a look-up. */
sealed interface LookupResult {

    /**
     * Holds an answer.
     *
     * @param answer the answer
     */
    record Found(LookupResponse answer) implements LookupResult {}

    /**
     * Tells that the entry host refused.
     *
     * @param refusal the refusal
     */
    record Refused(Refusal refusal) implements LookupResult {}

    /**
     * Tells that no usable answer came.
     *
     * @param reason why, as a short name
     */
    record Failed(String reason) implements LookupResult {}
}
