package org.redwingladder.tool;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Headers;
import org.redwingladder.api.Refusal;
import org.redwingladder.http.BufferedResponse;

/** Tells a whole answer to the own request from any other. */
final class AnswerCheck {
    private AnswerCheck() {}

    /**
     * Returns what an answer means for the attempt {@code requestId}. The HTTP caller has checked
     * that the body has the announced length.
     */
    static AttemptResult check(Work work, String requestId, BufferedResponse answer) {
        Optional<Refusal> refusal = HttpTransport.refusalOf(answer);
        if (refusal.isPresent()) {
            return new AttemptResult.Refused(refusal.get());
        }
        String id = answer.headers().getFirst(Headers.REQUEST_ID);
        if (id == null || !(id.equals(requestId) || work.once() && work.owns(id))) {
            return new AttemptResult.Wrong("wrong-id");
        }
        if (answer.status() / 100 == 2 && !work.method().equals("HEAD")) {
            String fault = bodyFault(work, answer.body());
            if (fault != null) {
                return new AttemptResult.Wrong(fault);
            }
        }
        String backend = answer.headers().getFirst(Headers.BACKEND);
        return new AttemptResult.Whole(
                answer.status(), answer.body(), backend == null ? "" : backend);
    }

    /**
     * Returns what is wrong with a body of known size, which starts with the id of the request that
     * it answers and a line feed; null if it is right.
     */
    private static @Nullable String bodyFault(Work work, byte[] body) {
        if (work.answerBytes() < 0) {
            return null;
        }
        if (body.length != work.answerBytes()) {
            return "wrong-length";
        }
        byte[] expected = (work.id() + ".").getBytes(UTF_8);
        int length = Math.min(expected.length, body.length);
        for (int i = 0; i < length; i++) {
            if (body[i] != expected[i]) {
                return "wrong-body";
            }
        }
        return null;
    }
}
