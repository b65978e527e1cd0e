package org.redwingladder.tool;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.api.ErrorBody;
import org.redwingladder.api.Headers;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.Json;

class AnswerCheckTest {
    private static BufferedResponse answer(int status, String id, byte[] body) {
        HeaderMap headers = new HeaderMap();
        headers.put(HttpString.tryFromString(Headers.REQUEST_ID), id);
        return new BufferedResponse(status, headers, body);
    }

    private static Work work(boolean once, int bytes) {
        return new Work("w", "store", 7, "POST", "/x", new byte[0], once, 20_000, bytes);
    }

    private static byte[] body(String id, int size) {
        return Arrays.copyOf((id + "\n").getBytes(UTF_8), size);
    }

    /** Guards against answers to other requests, or parts of answers, that count as whole. */
    @Nested
    class Wholeness {
        private AttemptResult check(Work work, BufferedResponse answer) {
            return AnswerCheck.check(work, "w.2", answer);
        }

        @Test
        void acceptsTheOwnAnswer() {
            AttemptResult result = check(work(false, 20), answer(200, "w.2", body("w.2", 20)));

            assertThat(result).isInstanceOf(AttemptResult.Whole.class);
        }

        @Test
        void rejectsOtherIdsSizesAndBodies() {
            assertThat(check(work(false, 20), answer(200, "v.2", body("w.2", 20))).reason())
                    .isEqualTo("wrong-id");
            assertThat(check(work(false, 20), answer(200, "w.1", body("w.2", 20))).reason())
                    .isEqualTo("wrong-id");
            assertThat(check(work(false, 20), answer(200, "w.2", body("w.2", 19))).reason())
                    .isEqualTo("wrong-length");
            assertThat(check(work(false, 20), answer(200, "w.2", body("v.2", 20))).reason())
                    .isEqualTo("wrong-body");
        }

        @Test
        void acceptsTheStoredOutcomeOfAnEarlierAttemptWithTheSameToken() {
            AttemptResult result = check(work(true, 20), answer(200, "w.1", body("w.1", 20)));

            assertThat(result).isInstanceOf(AttemptResult.Whole.class);
        }

        @Test
        void readsARefusal() {
            Refusal refusal = Refusal.notRun(RefusalReason.CAP_RATE, 5, "cap");
            byte[] body = Json.write(ErrorBody.of(refusal, "w.2"));

            assertThat(check(work(false, 20), answer(429, "w.2", body)))
                    .isEqualTo(new AttemptResult.Refused(refusal));
        }

        @Test
        void takesAnErrorOfTheBackendServerForItsAnswer() {
            AttemptResult result =
                    check(work(false, 20), answer(404, "w.2", "nothing".getBytes(UTF_8)));

            assertThat(result).isInstanceOf(AttemptResult.Whole.class);
        }
    }

    /** Guards against a report that makes the system look better than it was. */
    @Nested
    class Accounting {
        private final LoadCounts mCounts = new LoadCounts();

        private void record(RequestResult.End end, AttemptResult... results) {
            List<RequestResult.Attempt> attempts =
                    Arrays.stream(results)
                            .map(r -> new RequestResult.Attempt("w.1", "a:1", 0, 1, r))
                            .toList();
            mCounts.record(new RequestResult(work(false, -1), end, attempts, ""), 1_000);
        }

        @Test
        void countsOnlyWholeAnswersAsWhole() {
            AttemptResult whole = new AttemptResult.Whole(200, new byte[0], "b");
            AttemptResult lost = new AttemptResult.Lost("lost-cut-off", "closed");
            record(RequestResult.End.ANSWERED, whole);
            record(RequestResult.End.ANSWERED, new AttemptResult.Whole(500, new byte[0], "b"));
            record(RequestResult.End.ANSWERED, lost, whole);
            record(RequestResult.End.UNKNOWN, lost);
            record(RequestResult.End.UNKNOWN, new AttemptResult.Wrong("wrong-length"));
            record(
                    RequestResult.End.REFUSED,
                    FakeTransport.refused(RefusalReason.CAP_RATE, Outcome.NOT_RUN, 0));
            record(RequestResult.End.REFUSED);

            var json = mCounts.toJson();

            assertThat(json.path("requests").asInt()).isEqualTo(7);
            assertThat(json.path("whole").asInt()).isEqualTo(2);
            assertThat(json.path("otherStatus").asInt()).isEqualTo(1);
            assertThat(json.path("unknown").asInt()).isEqualTo(2);
            assertThat(json.path("refused").asInt()).isEqualTo(2);
            assertThat(json.at("/retries/lost-cut-off").asInt()).isEqualTo(1);
            assertThat(json.at("/failures/lost-cut-off").asInt()).isEqualTo(2);
            assertThat(json.at("/failures/wrong-length").asInt()).isEqualTo(1);
            assertThat(json.at("/refusals/cap-rate").asInt()).isEqualTo(1);
            assertThat(json.path("p999").asDouble()).isBetween(1.0, 1.01);
        }
    }
}
