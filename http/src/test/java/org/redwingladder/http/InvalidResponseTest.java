package org.redwingladder.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.Methods;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class InvalidResponseTest {
    private static final String ID = "Redwing-Request-Id: r\r\n";

    private ScriptedHttpServer mServer;
    private AsyncHttpClient mClient;

    @BeforeEach
    void start() throws Exception {
        mServer =
                new ScriptedHttpServer(
                        (request, out) -> ScriptedHttpServer.respond(request, out, 200, "kept"));
        mClient = AsyncHttpClient.create(1, new HttpClientLimits(64, 30_000));
    }

    @AfterEach
    void stop() throws Exception {
        mClient.close();
        mServer.close();
    }

    private CompletableFuture<BufferedResponse> fetch() {
        return mClient.fetch(
                CallRequest.of(
                                Methods.GET,
                                mServer.address(),
                                "/",
                                System.nanoTime() + TimeUnit.SECONDS.toNanos(20))
                        .requestId("r"));
    }

    private void assertKeptConnectionServes() throws Exception {
        mServer.setHandler((request, out) -> ScriptedHttpServer.respond(request, out, 200, "kept"));
        assertThat(body(fetch())).isEqualTo("kept");
    }

    private static String body(CompletableFuture<BufferedResponse> call) throws Exception {
        return new String(call.get(15, TimeUnit.SECONDS).body(), ISO_8859_1);
    }

    /** Writes a text as a whole, or byte by byte such that most bytes are read on their own. */
    private static boolean write(String text, boolean byteByByte, OutputStream out)
            throws IOException {
        byte[] bytes = text.getBytes(ISO_8859_1);
        if (!byteByByte) {
            out.write(bytes);
            return true;
        }
        for (byte b : bytes) {
            out.write(b);
            out.flush();
            try {
                TimeUnit.MICROSECONDS.sleep(500);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
        return true;
    }

    private void assertRejected(String text, boolean byteByByte) throws Exception {
        mServer.setHandler((request, out) -> write(text, byteByByte, out));
        CompletableFuture<BufferedResponse> call = fetch();
        try {
            throw new AssertionError("taken as a response: " + body(call));
        } catch (ExecutionException e) {
            assertThat(e.getCause()).isInstanceOf(InvalidResponseException.class);
            assertThat(((CallException) e.getCause()).neverSent()).isFalse();
        }
        Eventually.until("the connection is closed", () -> mServer.openConnections() == 0);
    }

    @Nested
    class InvalidBytes {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 000 X\r\n" + ID + "Content-Length: 1\r\n\r\nx",
                    "HTTP/1.1 200 X\r\nA: b\r\n Content-Length: 1\r\n" + ID + "\r\nx",
                    "HTTP/1.1 200 X\r\nA b: c\r\n" + ID + "Content-Length: 1\r\n\r\nx",
                    "HTTP/1.1 200 X\r\n"
                            + ID
                            + "Transfer-Encoding: chunked\r\n\r\n1y\r\nx\r\n0\r\n\r\n",
                    "HTTP/1.1 200 X\r\n"
                            + ID
                            + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA\r\n\r\n"
                })
        void failTheCallOnNewAndKeptConnections(String text) throws Exception {
            for (boolean byteByByte : new boolean[] {false, true}) {
                assertRejected(text, byteByByte);
                assertKeptConnectionServes();
                assertRejected(text, byteByByte);
            }
        }
    }

    @Nested
    class ValidBytes {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200\r\n" + ID + "Content-Length: 1\r\n\r\nx",
                    "HTTP/1.1 200 \r\n" + ID + "Content-Length:1 \t\r\n\r\nx",
                    "HTTP/1.1 200 X: y\r\nA:\r\nB: \r\n" + ID + "CONTENT-LENGTH: 01\r\n\r\nx",
                    "HTTP/1.1 200 X\r\n"
                            + ID
                            + "Transfer-Encoding: Chunked\r\n\r\n1;a=\"b;\\\"\"\r\nx\r\n"
                            + "00;c\r\nT: u\r\n\r\n",
                    "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nA: b\r\n\r\nHTTP/1.1 200 X\r\n"
                            + ID
                            + "Content-Length: 1\r\n\r\nx"
                })
        void areReadOnNewAndKeptConnections(String text) throws Exception {
            for (boolean byteByByte : new boolean[] {false, true, false}) {
                mServer.setHandler((request, out) -> write(text, byteByByte, out));
                assertThat(body(fetch())).isEqualTo("x");
            }
            assertThat(mServer.acceptedConnections()).isEqualTo(1);
        }

        /** A head that is longer than a buffer is passed to the HTTP client in parts. */
        @Test
        void areReadBehindALargeHead() throws Exception {
            String field = "A: " + "x".repeat(20_000) + "\u00e9\r\n";
            mServer.setHandler(
                    (request, out) ->
                            write(
                                    "HTTP/1.1 200 X\r\n"
                                            + field
                                            + ID
                                            + "Content-Length: 1\r\n\r\nx",
                                    false,
                                    out));
            BufferedResponse response = fetch().get(15, TimeUnit.SECONDS);
            assertThat(response.headers().getFirst("A")).hasSize(20_001).endsWith("\u00e9");
            assertThat(response.body()).hasSize(1);
        }

        @ParameterizedTest
        @ValueSource(strings = {"204", "304"})
        void areReadWithoutBody(String status) throws Exception {
            mServer.setHandler(
                    (request, out) ->
                            write("HTTP/1.1 " + status + " X\r\n" + ID + "\r\n", false, out));
            assertThat(body(fetch())).isEmpty();
            mServer.setHandler(
                    (request, out) ->
                            write(
                                    "HTTP/1.1 304 X\r\nContent-Length: 5\r\n" + ID + "\r\n",
                                    false,
                                    out));
            assertThat(body(fetch())).isEmpty();
        }
    }
}
