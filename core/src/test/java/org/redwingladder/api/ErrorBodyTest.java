package org.redwingladder.api;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ErrorBodyTest {
    private final ObjectMapper mMapper = new ObjectMapper();

    @Nested
    class RoundTrip {
        /** Guards against a refusal whose outcome changes in serialization. */
        @Test
        void preservesReasonAndOutcomeInJson() throws Exception {
            Refusal refusal = Refusal.notRun(RefusalReason.CAP_RATE, 1234, "cap reached");

            String json = mMapper.writeValueAsString(ErrorBody.of(refusal, "r1"));
            ErrorBody read = mMapper.readValue(json, ErrorBody.class);

            assertThat(read.refusal()).isEqualTo(refusal);
            assertThat(json).contains("\"cap-rate\"").contains("\"not-run\"");
        }
    }
}
