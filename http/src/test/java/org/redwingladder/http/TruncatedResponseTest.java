package org.redwingladder.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.Methods;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class TruncatedResponseTest {
    private static final String ID = "Redwing-Request-Id: %s\r\n";

    /** A typical response; %s is the request's id. */
    private enum Whole {
        WITH_LENGTH("HTTP/1.1 200 OK\r\n" + ID + "Content-Length: 11\r\n\r\nhello world"),
        LENGTH_FIRST("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n" + ID + "\r\nhello world"),
        CHUNKED(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                        + ID
                        + "\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"),
        REFUSAL("HTTP/1.1 503 X\r\nNot-Run: 1\r\n" + ID + "Content-Length: 0\r\n\r\n"),
        CLOSE_DELIMITED("HTTP/1.1 200 OK\r\n" + ID + "Server: s\r\n\r\nhello world"),
        /** Is rejected, as its lines have no carriage return. */
        BARE_LINE_FEEDS("HTTP/1.1 200 OK\nRedwing-Request-Id: %s\nServer: s\n\nhello world");

        private final String mText;

        Whole(String text) {
            mText = text;
        }

        String text(String id) {
            return mText.formatted(id);
        }

        /** Returns the length of the shortest part that is a whole response if its end is FIN. */
        int wholeBytes(String id) {
            String text = text(id);
            return switch (this) {
                case CLOSE_DELIMITED -> text.indexOf("\r\n\r\n") + 4;
                case WITH_LENGTH, LENGTH_FIRST, CHUNKED, REFUSAL, BARE_LINE_FEEDS -> text.length();
            };
        }
    }

    /** How the server ends the connection. */
    private enum End {
        FIN,
        RESET
    }

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

    private CompletableFuture<BufferedResponse> fetch(String id) {
        return mClient.fetch(
                CallRequest.of(
                                Methods.GET,
                                mServer.address(),
                                "/",
                                System.nanoTime() + TimeUnit.SECONDS.toNanos(20))
                        .allowCloseDelimitedBody()
                        .requestId(id));
    }

    /** Returns an id whose length does not depend on the number of bytes. */
    private static String id(Whole whole, int bytes, End end) {
        return String.format("%s-%04d-%s", whole, bytes, end);
    }

    /** Returns whether a response that ends after some bytes is taken as whole. */
    private boolean isTakenAsWhole(Whole whole, int bytes, End end, boolean keptConnection)
            throws Exception {
        String id = id(whole, bytes, end);
        if (keptConnection) {
            mServer.setHandler(
                    (request, out) -> ScriptedHttpServer.respond(request, out, 200, "kept"));
            fetch("before-" + id).get(10, TimeUnit.SECONDS);
        }
        mServer.setHandler(
                (request, out) -> {
                    write(whole.text(id).substring(0, bytes), out);
                    if (end == End.RESET) {
                        // The bytes arrive before the reset, which would discard them.
                        pause();
                        mServer.reset(request.connection());
                    }
                    return false;
                });
        try {
            fetch(id).get(10, TimeUnit.SECONDS);
            return true;
        } catch (ExecutionException e) {
            assertThat(e.getCause()).isInstanceOf(CallException.class);
            return false;
        }
    }

    private static void write(String text, OutputStream out) throws java.io.IOException {
        out.write(text.getBytes(ISO_8859_1));
        out.flush();
    }

    private static void pause() throws java.io.IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(5);
        } catch (InterruptedException e) {
            throw new java.io.IOException(e);
        }
    }

    private List<String> partsTakenAsWhole(Whole whole, End end, int firstWholeBytes)
            throws Exception {
        List<String> taken = new ArrayList<>();
        for (int bytes = 0; bytes < firstWholeBytes; bytes++) {
            for (boolean kept : new boolean[] {false, true}) {
                if (isTakenAsWhole(whole, bytes, end, kept)) {
                    taken.add(
                            bytes + (kept ? " bytes, kept connection" : " bytes, new connection"));
                }
            }
        }
        return taken;
    }

    @Nested
    class Parts {
        /** A head or body that ends early is no response, wherever it ends. */
        @ParameterizedTest
        @EnumSource(Whole.class)
        void areNotTakenAsWholeAfterFin(Whole whole) throws Exception {
            int wholeBytes = whole.wholeBytes(id(whole, 0, End.FIN));
            assertThat(partsTakenAsWhole(whole, End.FIN, wholeBytes)).isEmpty();
        }

        /** A reset may have discarded any bytes after those that arrived. */
        @ParameterizedTest
        @EnumSource(
                value = Whole.class,
                names = {"CLOSE_DELIMITED", "BARE_LINE_FEEDS"})
        void areNotTakenAsWholeAfterAReset(Whole whole) throws Exception {
            int textBytes = whole.text(id(whole, 0, End.RESET)).length();
            assertThat(partsTakenAsWhole(whole, End.RESET, textBytes + 1)).isEmpty();
        }
    }
}
