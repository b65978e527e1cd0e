package org.redwingladder.request;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest.BodyPublishers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.redwingladder.http.ScriptedHttpServer;
import org.redwingladder.once.SingleUseToken;
import org.redwingladder.once.TokenSigner;
import org.redwingladder.request.TestDeployment.Reply;

class InvalidRequestTest {
    private final TestDeployment mDeployment = new TestDeployment();
    private ScriptedHttpServer mBackend;

    @BeforeEach
    void start() throws Exception {
        mBackend =
                mDeployment.zone(
                        "near",
                        "e1",
                        (request, out) ->
                                ScriptedHttpServer.respond(
                                        request, out, 200, "" + request.body().length));
    }

    /** Sends a valid request after each test: invalid input must not affect later requests. */
    @AfterEach
    void assertStillServingAndStop() throws Exception {
        Reply reply = mDeployment.post("e1", "/good", "12345");
        mDeployment.close();
        assertThat(reply.body()).isEqualTo("5");
    }

    private void assertRefused(Reply reply, int status, String reason, String outcome) {
        assertThat(reply.status()).isEqualTo(status);
        assertThat(reply.reason()).isEqualTo(reason);
        assertThat(reply.outcome()).isEqualTo(outcome);
        assertThat(reply.body()).doesNotContain("Exception").doesNotContain("\tat ");
        assertThat(mBackend.receivedRequests()).isEmpty();
    }

    @Nested
    class Headers {
        /** Guards against malformed headers that are ignored or cause an internal error. */
        @ParameterizedTest
        @CsvSource({
            "Redwing-Deadline, tomorrow, 400, bad-request",
            "Redwing-Deadline, -5, 400, bad-request",
            "Redwing-Deadline, 1000, 504, deadline-expired",
            "Redwing-Deadline, 99999999999999999999, 400, bad-request",
            "Redwing-Block, x7, 400, bad-request",
            "Redwing-Block, 1000, 400, bad-request",
            "Redwing-Token, forged.token, 400, token-invalid",
            "Redwing-Token, nonsense, 400, token-invalid",
            "Idempotency-Key, a/b, 400, bad-request",
        })
        void malformedHeaderIsRefusedWithItsName(
                String name, String value, int status, String reason) throws Exception {
            Reply reply =
                    mDeployment.send(
                            mDeployment
                                    .request("e1", "/v1/services/shop/pay")
                                    .header(name, value)
                                    .POST(BodyPublishers.ofString("x")));

            assertRefused(reply, status, reason, "not-run");
            if (reason.equals("bad-request")) {
                assertThat(reply.body()).contains(name).contains("allowed");
            }
        }

        /** Guards against the acceptance of another deployment's token. */
        @Test
        void tokenSignedWithAnotherKeyIsRefused() throws Exception {
            String forged =
                    TokenSigner.of("another key of another deployment".getBytes(ISO_8859_1))
                            .sign(new SingleUseToken("e1", 1, 1, "shop", Long.MAX_VALUE));

            assertRefused(withToken(forged), 400, "token-invalid", "not-run");
        }

        /** Guards against work that runs twice because its token's issuer cannot be asked. */
        @Test
        void tokenOfUnknownIssuerHasUnknownOutcome() throws Exception {
            String foreign =
                    TokenSigner.of(TestHost.TOKEN_KEY)
                            .sign(new SingleUseToken("gone", 1, 1, "shop", Long.MAX_VALUE));

            assertRefused(withToken(foreign), 409, "token-foreign", "unknown");
        }

        private Reply withToken(String token) throws Exception {
            return mDeployment.send(
                    mDeployment
                            .request("e1", "/v1/services/shop/pay")
                            .header("Redwing-Token", token)
                            .POST(BodyPublishers.ofString("x")));
        }
    }

    @Nested
    class Paths {
        /** Guards against unknown paths, services and blocks that cause an untyped error. */
        @ParameterizedTest
        @CsvSource({
            "/v1/services/nothing/x, 404, unknown-service",
            "/v1/elsewhere, 400, bad-request",
            "/v1/lookup?service=nothing&block=1, 404, unknown-service",
            "/v1/lookup?service=shop&block=-1, 400, bad-request",
            "/v1/lookup?service=shop&block=1000, 400, bad-request",
            "/v1/lookup?service=shop, 400, bad-request",
        })
        void unknownPathOrParameterIsRefused(String path, int status, String reason)
                throws Exception {
            Reply reply = mDeployment.send(mDeployment.request("e1", path).GET());

            assertRefused(reply, status, reason, "not-run");
        }
    }

    @Nested
    class Bodies {
        /** Guards against memory exhaustion by a body with a large Content-Length. */
        @Test
        void bodyWithContentLengthAboveTheLimitIsRefused() throws Exception {
            String answer =
                    exchange(
                            "POST /v1/services/shop/x HTTP/1.1\r\nHost: x\r\n"
                                    + "Content-Length: 1048577\r\n\r\n");

            assertThat(answer).startsWith("HTTP/1.1 413").contains("body-too-large");
            assertThat(mBackend.receivedRequests()).isEmpty();
        }

        /** Guards against memory exhaustion by a chunked body, which has no Content-Length. */
        @Test
        void chunkedBodyAboveTheLimitIsRefused() throws Exception {
            StringBuilder request =
                    new StringBuilder(
                            "POST /v1/services/shop/x HTTP/1.1\r\nHost: x\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n");
            String chunk = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
            request.append(chunk.repeat(20));

            String answer = exchange(request.toString());

            assertThat(answer).startsWith("HTTP/1.1 413").contains("body-too-large");
            assertThat(mBackend.receivedRequests()).isEmpty();
        }

        /** Guards against an exchange that ends before its body has arrived completely. */
        @Test
        void bodyThatArrivesInSeveralPacketsIsForwardedCompletely() throws Exception {
            try (Socket socket = connect()) {
                socket.setSoTimeout(20_000);
                OutputStream out = socket.getOutputStream();
                String head =
                        "POST /v1/services/shop/x HTTP/1.1\r\nHost: x\r\n"
                                + "Connection: close\r\nContent-Length: 8\r\n\r\n";
                for (String piece : new String[] {head, "1234", "5678"}) {
                    out.write(piece.getBytes(ISO_8859_1));
                    out.flush();
                    java.util.concurrent.locks.LockSupport.parkNanos(20_000_000);
                }
                String answer = new String(socket.getInputStream().readAllBytes(), ISO_8859_1);

                assertThat(answer).startsWith("HTTP/1.1 200").endsWith("8");
            }
        }

        /** Guards against a client that never completes its body and holds a connection forever. */
        @Test
        void connectionIsClosedIfBodyIsIncompleteAtTheDeadline() throws Exception {
            String answer =
                    exchange(
                            "POST /v1/services/shop/x HTTP/1.1\r\nHost: x\r\nRedwing-Deadline: "
                                    + (System.currentTimeMillis() + 200)
                                    + "\r\nContent-Length: 10\r\n\r\n12345");

            assertThat(answer).isEmpty();
            assertThat(mBackend.receivedRequests()).isEmpty();
        }
    }

    @Nested
    class MalformedHttp {
        /** Guards against memory exhaustion by request headers. */
        @ParameterizedTest
        @CsvSource({"20000", "100000"})
        void headersAboveTheLimitCloseTheConnection(int length) throws Exception {
            String answer =
                    exchange(
                            "GET /v1/services/shop/x HTTP/1.1\r\nHost: x\r\nX: "
                                    + "y".repeat(length)
                                    + "\r\n\r\n");

            assertThat(answer).doesNotContain("200 OK");
            assertThat(mBackend.receivedRequests()).isEmpty();
        }

        /** Guards against bytes that are not HTTP. */
        @Test
        void bytesThatAreNotHttpCloseTheConnection() throws Exception {
            assertThat(exchange("\u0000\u0001\u0002 nonsense\r\n\r\n")).doesNotContain("200 OK");
        }
    }

    private Socket connect() throws Exception {
        return new Socket(
                mDeployment.host("e1").clientAddress().getAddress(),
                mDeployment.host("e1").clientAddress().getPort());
    }

    /** Sends bytes and returns everything that is received until the connection closes. */
    private String exchange(String bytes) throws Exception {
        try (Socket socket = connect()) {
            socket.setSoTimeout(20_000);
            try {
                socket.getOutputStream().write(bytes.getBytes(ISO_8859_1));
                return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
            } catch (java.net.SocketException e) {
                return "";
            }
        }
    }
}
