package org.redwingladder.entry;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpListenerTest {
    private static final int CONNECTIONS = 50;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

    /** More than the acceptor thread takes to accept a connection. */
    private static final long ACCEPT_MILLIS = 50;

    private final List<Socket> mSockets = new ArrayList<>();
    private TestThread mThread;
    private InetSocketAddress mAddress;
    private HttpListener mListener;

    @BeforeEach
    void start() throws Exception {
        mThread = new TestThread();
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            mAddress = new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
        mListener =
                new HttpListener(
                        "clients",
                        mAddress,
                        mThread.thread().getWorker(),
                        new DefaultByteBufferPool(true, 16_384),
                        exchange -> Responses.text(exchange, 200, "served"),
                        new ClientConnections(
                                "clients",
                                CONNECTIONS,
                                mThread.thread(),
                                EventLog.of("h"),
                                new EntryMetrics()));
        mListener.start(cause -> {});
    }

    @AfterEach
    void stop() throws Exception {
        for (Socket socket : mSockets) {
            socket.close();
        }
        mListener.stop();
        mThread.close();
    }

    /** Opens connections and sends a request on each. */
    private void sendAll() {
        try {
            for (int i = 0; i < CONNECTIONS; i++) {
                Socket socket = new Socket();
                mSockets.add(socket);
                socket.connect(mAddress, 1_000);
                socket.setSoTimeout(10_000);
                socket.getOutputStream().write(REQUEST.getBytes(ISO_8859_1));
            }
            TimeUnit.MILLISECONDS.sleep(ACCEPT_MILLIS);
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Nested
    class Stop {
        /** Connections that were accepted must not be closed with the listener. */
        @Test
        void servesConnectionsThatWereAcceptedBefore() throws Exception {
            // The I/O thread handles no connection in between.
            mThread.run(
                    () -> {
                        sendAll();
                        mListener.stop();
                    });
            for (Socket socket : mSockets) {
                String response = new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
                assertThat(response).startsWith("HTTP/1.1 200").endsWith("served");
            }
        }

        @Test
        void refusesLaterConnections() throws Exception {
            mThread.run(mListener::stop);
            assertThatThrownBy(HttpListenerTest.this::connect).isInstanceOf(IOException.class);
        }
    }

    @Nested
    class Limits {
        private Socket open() throws IOException {
            Socket socket = new Socket();
            mSockets.add(socket);
            socket.connect(mAddress, 1_000);
            socket.setSoTimeout(10_000);
            return socket;
        }

        /** A client that connects and sends nothing must not keep another one out. */
        @Test
        void closeAConnectionWithoutARequestForANewOne() throws Exception {
            for (int i = 0; i < CONNECTIONS; i++) {
                open();
            }
            Socket last = open();
            last.getOutputStream().write(REQUEST.getBytes(ISO_8859_1));
            String response = new String(last.getInputStream().readAllBytes(), ISO_8859_1);
            assertThat(response).endsWith("served");
            assertThat(mSockets.get(0).getInputStream().read()).isNegative();
        }

        @Test
        void endAConnectionAfterManyRequestsThatWereSentAhead() throws Exception {
            Socket socket = open();
            String request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
            socket.getOutputStream().write(request.repeat(40).getBytes(ISO_8859_1));
            String responses = new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
            assertThat(responses.split("served", -1))
                    .hasSize(ClientConnections.MAX_PIPELINED_REQUESTS + 2);
            assertThat(responses.split("Connection: close", -1)).hasSize(2);
        }
    }

    private void connect() throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(mAddress, 1_000);
        }
    }
}
