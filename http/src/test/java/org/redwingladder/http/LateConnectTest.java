package org.redwingladder.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.undertow.util.Methods;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LateConnectTest {
    /** The kernel repeats the opening packet that a full queue dropped after 1 and 3 s. */
    private static final int LATE_CONNECT_MILLIS = 8_000;

    /** More than the queue of the listener takes. */
    private static final int FILLERS = 4;

    private static CallRequest request(ServerSocket server, long connectMillis) {
        long now = System.nanoTime();
        return CallRequest.of(
                        Methods.POST,
                        new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                        "/",
                        now + TimeUnit.SECONDS.toNanos(20))
                .connectDeadlineNanos(now + TimeUnit.MILLISECONDS.toNanos(connectMillis))
                .body(new byte[] {1});
    }

    private static boolean connect(ServerSocket server, List<Socket> sockets) throws Exception {
        Socket socket = new Socket();
        sockets.add(socket);
        try {
            socket.connect(server.getLocalSocketAddress(), 200);
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }

    @Nested
    class Connections {
        /** A request that was reported as never sent may be refused as not run, or retried. */
        @Test
        void thatOpenAfterTheDeadlineCarryNoRequest() throws Exception {
            List<Socket> fillers = new ArrayList<>();
            try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                    AsyncHttpClient client =
                            AsyncHttpClient.create(1, new HttpClientLimits(8, 30_000))) {
                int queued = 0;
                for (int i = 0; i < FILLERS && connect(server, fillers); i++) {
                    queued++;
                }
                assertThat(queued).as("the queue of the listener is full").isLessThan(FILLERS);
                CompletableFuture<BufferedResponse> call = client.fetch(request(server, 100));
                assertThatThrownBy(() -> call.get(5, TimeUnit.SECONDS))
                        .hasCauseInstanceOf(NotSentException.class);
                fillers.forEach(LateConnectTest::close);
                server.setSoTimeout(LATE_CONNECT_MILLIS);
                long bytes = 0;
                try {
                    while (true) {
                        try (Socket late = server.accept()) {
                            late.setSoTimeout(2_000);
                            bytes += late.getInputStream().readAllBytes().length;
                        }
                    }
                } catch (SocketTimeoutException e) {
                    assertThat(bytes).isZero();
                }
            } finally {
                fillers.forEach(LateConnectTest::close);
            }
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }
}
