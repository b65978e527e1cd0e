package org.redwingladder.bench;

import com.sun.management.OperatingSystemMXBean;
import io.undertow.Undertow;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.InputStream;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.HttpClientLimits;

/** Measures what one small exchange between two entry hosts costs, both ends together. */
final class CapacityHttp {
    private static final HttpString POST = new HttpString("POST");
    private static final String PATH = "/peer/v1/heartbeat";
    private static final byte[] BODY = new byte[300];
    private static final int WARM_UP = 20_000;
    private static final int EXCHANGES = 20_000;
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private CapacityHttp() {}

    /**
     * Holds the sizes of the heads of a request and of its answer, in bytes.
     *
     * @param requestBytes the head of the request
     * @param answerBytes the head of the answer
     */
    record Heads(int requestBytes, int answerBytes) {}

    /** Reads one request and one answer from the wire and counts the bytes of their heads. */
    static Heads measureHeads() throws Exception {
        int request;
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket server = new ServerSocket(0, 1, loopback);
                AsyncHttpClient caller = caller()) {
            var answer = caller.fetch(call((InetSocketAddress) server.getLocalSocketAddress()));
            try (Socket socket = server.accept()) {
                request = headBytes(socket.getInputStream());
                socket.getOutputStream()
                        .write(
                                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                answer.get(10, TimeUnit.SECONDS);
            }
        }
        Undertow echo = echo();
        echo.start();
        try (Socket socket = new Socket()) {
            socket.connect(address(echo));
            String head = "POST " + PATH + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            return new Heads(request, headBytes(socket.getInputStream()));
        } finally {
            echo.stop();
        }
    }

    /** Returns the cost of one exchange on a kept connection, for client and server together. */
    static CapacityLine exchange(Heads heads) throws Exception {
        OperatingSystemMXBean system =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        Undertow echo = echo();
        echo.start();
        try (AsyncHttpClient caller = caller()) {
            run(caller, address(echo), WARM_UP);
            long before = system.getProcessCpuTime();
            run(caller, address(echo), EXCHANGES);
            double micros = (system.getProcessCpuTime() - before) / 1e3 / EXCHANGES;
            return new CapacityLine(
                    "HTTP: one exchange, both ends",
                    BODY.length + " B each way",
                    2L * BODY.length + heads.requestBytes() + heads.answerBytes(),
                    micros,
                    0);
        } finally {
            echo.stop();
        }
    }

    private static void run(AsyncHttpClient caller, InetSocketAddress address, int count)
            throws InterruptedException, ExecutionException, TimeoutException {
        for (int i = 0; i < count; i++) {
            caller.fetch(call(address)).get(10, TimeUnit.SECONDS);
        }
    }

    private static CallRequest call(InetSocketAddress address) {
        return CallRequest.of(POST, address, PATH, System.nanoTime() + WAIT_NANOS)
                .header(Headers.CONTENT_TYPE, "application/json")
                .body(BODY);
    }

    private static AsyncHttpClient caller() throws IOException {
        return AsyncHttpClient.create(1, HttpClientLimits.defaults());
    }

    private static Undertow echo() {
        RoutingHandler handler =
                new RoutingHandler()
                        .post(
                                PATH,
                                exchange -> {
                                    exchange.getResponseHeaders()
                                            .put(Headers.CONTENT_TYPE, "application/json");
                                    exchange.getResponseSender()
                                            .send(java.nio.ByteBuffer.wrap(BODY));
                                });
        return Undertow.builder()
                .setIoThreads(1)
                .setWorkerThreads(1)
                .addHttpListener(0, "127.0.0.1", handler)
                .build();
    }

    private static InetSocketAddress address(Undertow server) {
        return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    private static int headBytes(InputStream in) throws IOException {
        int count = 0;
        int matched = 0;
        byte[] end = {'\r', '\n', '\r', '\n'};
        while (matched < end.length) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended inside a head");
            }
            count++;
            matched = next == end[matched] ? matched + 1 : next == end[0] ? 1 : 0;
        }
        return count;
    }
}
