package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.RejectedExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.redwingladder.steering.NotRunProof;

class RefusalGuardTest {
    private final RefusalGuard mGuard = new RefusalGuard(EventLog.of("h"), new EntryMetrics());
    private TestThread mThread;
    private Undertow mListener;
    private HttpHandler mHandler;

    @BeforeEach
    void start() throws Exception {
        mThread = new TestThread();
        mListener = mThread.listen(this::handle);
    }

    @AfterEach
    void stop() {
        mListener.stop();
        mThread.close();
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        mGuard.install(exchange);
        mHandler.handleRequest(exchange);
    }

    private int status(HttpHandler handler) throws Exception {
        mHandler = handler;
        InetSocketAddress address =
                (InetSocketAddress) mListener.getListenerInfo().get(0).getAddress();
        try (HttpClient client = HttpClient.newHttpClient()) {
            return client.send(
                            HttpRequest.newBuilder(
                                            URI.create("http://127.0.0.1:" + address.getPort()))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        }
    }

    @Nested
    class Status {
        /** The library answers 503 if a task is rejected, also after the request was sent. */
        @Test
        void ofALibraryIsReplacedIfATaskIsRejected() throws Exception {
            assertThat(
                            status(
                                    exchange ->
                                            exchange.dispatch(
                                                    SameThreadExecutor.INSTANCE,
                                                    RefusalGuardTest::reject)))
                    .isEqualTo(500);
        }

        @ParameterizedTest
        @ValueSource(ints = {408, 421, 429, 503})
        void withoutProofIsReplaced(int status) throws Exception {
            assertThat(status(exchange -> Responses.text(exchange, status, "not run")))
                    .isEqualTo(500);
        }

        @Test
        void withProofIsKept() throws Exception {
            assertThat(
                            status(
                                    exchange -> {
                                        RefusalGuard.refuse(
                                                exchange, NotRunProof.ofUnsentRequest());
                                        exchange.endExchange();
                                    }))
                    .isEqualTo(503);
        }

        @ParameterizedTest
        @ValueSource(ints = {200, 404, 500, 502, 504})
        void thatPromisesNothingIsKept(int status) throws Exception {
            assertThat(status(exchange -> Responses.text(exchange, status, "x"))).isEqualTo(status);
        }
    }

    private static void reject() {
        throw new RejectedExecutionException("the thread ends");
    }
}
