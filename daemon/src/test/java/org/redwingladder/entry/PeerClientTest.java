package org.redwingladder.entry;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.InvalidForms;
import org.redwingladder.http.ScriptedHttpServer;

class PeerClientTest {
    private TestThread mThread;
    private AsyncHttpClient mHttpClient;
    private ScriptedHttpServer mPeer;
    private PeerClient mClient;

    @BeforeEach
    void start() throws Exception {
        mThread = new TestThread();
        mHttpClient = mThread.httpClient();
        mPeer =
                new ScriptedHttpServer(
                        (request, out) -> ScriptedHttpServer.respond(request, out, 200, "hello"));
        mClient =
                new PeerClient(
                        mHttpClient, mThread.thread(), EventLog.of("h1"), new EntryMetrics());
    }

    @AfterEach
    void stop() throws Exception {
        mHttpClient.close();
        mThread.close();
        mPeer.close();
    }

    /** Calls the peer and returns the bodies that were read. */
    private List<String> call() throws Exception {
        List<String> bodies = new ArrayList<>();
        CompletableFuture<Void> ended = new CompletableFuture<>();
        mThread.run(
                () ->
                        mClient.call(
                                Addresses.format(mPeer.address()),
                                "/peers",
                                new byte[1],
                                new PeerClient.BodyReader() {
                                    @Override
                                    public void read(byte[] body) {
                                        bodies.add(new String(body, ISO_8859_1));
                                    }

                                    @Override
                                    public void ended() {
                                        ended.complete(null);
                                    }
                                }));
        ended.get(20, TimeUnit.SECONDS);
        return bodies;
    }

    static List<String> invalidResponses() {
        return InvalidForms.withBody("hello");
    }

    @Nested
    class Responses {
        /** A body that is not the other host's would be taken as its message. */
        @ParameterizedTest
        @MethodSource("org.redwingladder.entry.PeerClientTest#invalidResponses")
        void ofAnInvalidFormAreNotRead(String response) throws Exception {
            assertThat(call()).containsExactly("hello");
            mPeer.setHandler(
                    (request, out) -> {
                        out.write(response.getBytes(ISO_8859_1));
                        return true;
                    });
            assertThat(call()).isEmpty();
        }
    }
}
