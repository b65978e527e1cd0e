package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SendResultTest {
    @Nested
    class Responses {
        @ParameterizedTest
        @ValueSource(ints = {408, 429, 503})
        void withoutNotRunProveNothing(int status) {
            SendResult result = SendResult.ofResponse(status, false, false, true);
            assertThat(result).isEqualTo(SendResult.UNPROVEN_REFUSAL);
            assertThat(result.provesNotRun()).isFalse();
        }

        @ParameterizedTest
        @ValueSource(ints = {200, 204, 400, 421, 429, 500, 503, 504})
        void withNotRunOfAProcessedRequestProveNothing(int status) {
            assertThat(SendResult.ofResponse(status, true, status == 421, true).provesNotRun())
                    .isFalse();
        }

        /** A success of a request that did not run contradicts itself. */
        @Test
        void withNotRunAndSuccessProveNothing() {
            assertThat(SendResult.ofResponse(200, true, false, false)).isEqualTo(SendResult.LOST);
        }

        @ParameterizedTest
        @ValueSource(ints = {400, 429, 503, 504})
        void withNotRunProveThatTheRequestDidNotRun(int status) {
            assertThat(SendResult.ofResponse(status, true, false, false))
                    .isEqualTo(SendResult.FULL);
        }

        @Test
        void ofAnotherServerProveThatTheRequestDidNotRun() {
            assertThat(SendResult.ofResponse(421, false, true, false))
                    .isEqualTo(SendResult.MISDIRECTED);
        }

        @Test
        void ofProcessedRequestsAreForwardedAsTheyAre() {
            assertThat(SendResult.ofResponse(200, false, false, true))
                    .isEqualTo(SendResult.ANSWERED);
            assertThat(SendResult.ofResponse(404, false, false, true))
                    .isEqualTo(SendResult.ANSWERED);
            assertThat(SendResult.ofResponse(500, false, false, true)).isEqualTo(SendResult.FAILED);
            assertThat(SendResult.ofResponse(504, false, false, true)).isEqualTo(SendResult.FAILED);
        }

        @Test
        void withoutStampProveNothing() {
            assertThat(SendResult.ofResponse(503, false, false, false)).isEqualTo(SendResult.LOST);
        }
    }
}
