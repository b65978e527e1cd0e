package org.redwingladder.request;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.http.Eventually;
import org.redwingladder.http.RawBackend;
import org.redwingladder.request.TestDeployment.Reply;

class StreamedResponseTest {
    private static final int PIECE = 64 * 1024;

    private final TestDeployment mDeployment = new TestDeployment();
    private final AtomicLong mWritten = new AtomicLong();
    private RawBackend mBackend;

    @BeforeEach
    void start() throws Exception {
        mBackend = mDeployment.zone("near", "e1", (request, out) -> true);
        mDeployment.host("e2", "near");
    }

    @AfterEach
    void stop() throws Exception {
        mDeployment.close();
    }

    private boolean pieces(OutputStream out, int count) throws IOException {
        byte[] piece = new byte[PIECE];
        for (int i = 0; i < count; i++) {
            Arrays.fill(piece, (byte) ('a' + i % 26));
            out.write(piece);
            mWritten.addAndGet(PIECE);
        }
        return true;
    }

    private static void assertWhole(Reply reply, int count) {
        assertThat(reply.status()).isEqualTo(200);
        assertThat(reply.body().length()).isEqualTo(count * PIECE);
        for (int i = 0; i < count; i++) {
            assertThat(reply.body().charAt(i * PIECE)).isEqualTo((char) ('a' + i % 26));
            assertThat(reply.body().charAt((i + 1) * PIECE - 1)).isEqualTo((char) ('a' + i % 26));
        }
    }

    @Nested
    class WholeAnswers {
        /** Guards against a long answer that loses or repeats a piece on its way. */
        @Test
        void arriveWithALength() throws Exception {
            mBackend.behave(
                    (request, out) -> {
                        out.write(
                                RawBackend.head(request.id(), 200, 100 * PIECE)
                                        .getBytes(ISO_8859_1));
                        return pieces(out, 100);
                    });
            for (String host : new String[] {"e1", "e2", "e1", "e2"}) {
                assertWhole(mDeployment.get(host, "/video"), 100);
            }
            Eventually.until(
                    "nothing is in flight", () -> mDeployment.host("e1").mPipeline.inFlight() == 0);
        }

        /** Guards against a chunked answer that is longer than the buffer and loses its start. */
        @Test
        void arriveInChunks() throws Exception {
            mBackend.behave(
                    (request, out) -> {
                        out.write(
                                ("HTTP/1.1 200 X\r\nRedwing-Request-Id: "
                                                + request.id()
                                                + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                                        .getBytes(ISO_8859_1));
                        byte[] piece = new byte[PIECE];
                        for (int i = 0; i < 20; i++) {
                            Arrays.fill(piece, (byte) ('a' + i));
                            out.write("10000\r\n".getBytes(ISO_8859_1));
                            out.write(piece);
                            out.write("\r\n".getBytes(ISO_8859_1));
                        }
                        out.write("0\r\n\r\n".getBytes(ISO_8859_1));
                        return true;
                    });
            for (String host : new String[] {"e1", "e2"}) {
                assertWhole(mDeployment.get(host, "/video"), 20);
            }
        }
    }

    @Nested
    class CutOffAnswers {
        /** Guards against half a video that looks complete to the client. */
        @Test
        void endTheClientsConnection() throws Exception {
            mBackend.behave(
                    (request, out) -> {
                        out.write(
                                RawBackend.head(request.id(), 200, 100 * PIECE)
                                        .getBytes(ISO_8859_1));
                        pieces(out, 50);
                        return false;
                    });
            for (String host : new String[] {"e1", "e2"}) {
                assertThatThrownBy(() -> mDeployment.get(host, "/video"))
                        .isInstanceOf(IOException.class);
                assertThat(mDeployment.host(host).counter("answers.cut-off")).isEqualTo(1);
            }
            Eventually.until(
                    "the slot is free again", () -> mDeployment.host("e1").mPipeline.inFlight() == 0);
        }
    }

    @Nested
    class SlowReceivers {
        /** Guards against a long answer that is held in memory for a client that does not read. */
        @Test
        void holdTheBackendServerBack() throws Exception {
            int total = 2000;
            mBackend.behave(
                    (request, out) -> {
                        out.write(
                                RawBackend.head(request.id(), 200, total * PIECE)
                                        .getBytes(ISO_8859_1));
                        return pieces(out, total);
                    });
            try (Socket socket =
                    new Socket(
                            mDeployment.host("e1").clientAddress().getAddress(),
                            mDeployment.host("e1").clientAddress().getPort())) {
                socket.getOutputStream()
                        .write(
                                "GET /v1/services/shop/video HTTP/1.1\r\nHost: x\r\n\r\n"
                                        .getBytes(ISO_8859_1));
                InputStream in = socket.getInputStream();
                assertThat(in.read()).isEqualTo('H');
                awaitStandstill();

                // Socket buffers hold a few megabytes; the answer has 125.
                assertThat(mWritten.get()).isLessThan(60L * 1024 * 1024);
                byte[] rest = in.readNBytes(total * PIECE);
                assertThat(rest.length).isEqualTo(total * PIECE);
            }
        }

        private void awaitStandstill() {
            long[] last = {-1, 0};
            Eventually.until(
                    "the backend server waits",
                    () -> {
                        long written = mWritten.get();
                        last[1] = written == last[0] && written > 0 ? last[1] + 1 : 0;
                        last[0] = written;
                        return last[1] > 100;
                    });
        }
    }
}
