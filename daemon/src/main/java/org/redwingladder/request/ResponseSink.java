package org.redwingladder.request;

import org.redwingladder.api.Refusal;
import org.redwingladder.http.StreamedAnswer;
import org.redwingladder.http.WholeAnswer;

/** Receives the only final answer of a request: exactly one method is called, once. */
interface ResponseSink {

    /**
     * Receives how long a request of the same class would wait at the site now. It is called at
     * most once, before the final answer.
     */
    default void expectedWait(long nanos) {}

    /** Receives a whole answer of a backend server. */
    void whole(WholeAnswer answer, String backend);

    /** Receives the head of a long answer of a backend server, which has to be handed on. */
    void streamed(StreamedAnswer answer, String backend, Transfer transfer);

    /** Receives a refusal. */
    void refused(Refusal refusal);

    /**
     * Follows the transfer of a long answer.
     *
     * @param pacer spaces the pieces
     * @param handler learns of the end of the transfer
     */
    record Transfer(StreamedAnswer.Pacer pacer, StreamedAnswer.TransferHandler handler) {}
}
