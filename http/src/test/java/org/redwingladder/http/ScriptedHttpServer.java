package org.redwingladder.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An HTTP server over plain sockets whose handler can send arbitrary bytes at any time. */
public final class ScriptedHttpServer implements AutoCloseable {
    /** Responds to one request; returns false to close the connection. */
    public interface Handler {
        boolean respond(Received request, OutputStream out) throws IOException;
    }

    /** A received request, with the number of its connection. */
    public record Received(
            String method, String path, Map<String, String> headers, byte[] body, int connection) {
        public String id() {
            return headers.getOrDefault("redwing-request-id", "");
        }
    }

    private final ServerSocket mServer;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final Map<Integer, Socket> mSocketsByNumber = new ConcurrentHashMap<>();
    private final List<Received> mReceivedRequests = new CopyOnWriteArrayList<>();
    private final AtomicInteger mAcceptedConnections = new AtomicInteger();
    private final Thread mAcceptor;
    private volatile Handler mHandler;

    public ScriptedHttpServer(Handler handler) throws IOException {
        this(handler, 0);
    }

    /** Creates a server at a port, 0 for any free one. */
    public ScriptedHttpServer(Handler handler, int port) throws IOException {
        mHandler = handler;
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 100);
        mAcceptor = Thread.ofVirtual().start(this::accept);
    }

    public void setHandler(Handler handler) {
        mHandler = handler;
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(mServer.getInetAddress(), mServer.getLocalPort());
    }

    /** Returns the requests that were received completely, in order of arrival. */
    public List<Received> receivedRequests() {
        return mReceivedRequests;
    }

    public long requestCount(String requestId) {
        return mReceivedRequests.stream().filter(r -> r.id().equals(requestId)).count();
    }

    public int acceptedConnections() {
        return mAcceptedConnections.get();
    }

    public int openConnections() {
        return mSockets.size();
    }

    /** Returns whether the client closes a connection within {@code millis}. */
    public boolean clientClosesWithin(int connection, int millis) {
        Socket socket = mSocketsByNumber.get(connection);
        try {
            socket.setSoTimeout(millis);
            return socket.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Resets a connection. */
    public void reset(int connection) throws IOException {
        Socket socket = mSocketsByNumber.get(connection);
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                mSockets.add(socket);
                int number = mAcceptedConnections.incrementAndGet();
                mSocketsByNumber.put(number, socket);
                Thread.ofVirtual().start(() -> serve(socket, number));
            }
        } catch (IOException e) {
            // The test closed the server.
        }
    }

    private void serve(Socket socket, int number) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Received request = read(in, number);
            while (request != null) {
                mReceivedRequests.add(request);
                if (!mHandler.respond(request, socket.getOutputStream())) {
                    break;
                }
                request = read(in, number);
            }
        } catch (IOException e) {
            // The client closed the connection.
        } finally {
            mSockets.remove(socket);
        }
    }

    private static Received read(InputStream in, int number) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = headers(in);
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        String[] parts = start.split(" ");
        return body.length < length
                ? null
                : new Received(parts[0], parts[1], headers, body, number);
    }

    /** Reads the headers of a message up to the empty line; the keys are in lower case. */
    public static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return headers;
    }

    /** Reads a line without its terminator; returns null at end of stream. */
    public static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int c = in.read();
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                line.append((char) c);
            }
            c = in.read();
        }
        return c < 0 ? null : line.toString();
    }

    /** Writes a response with the request's id and a correct Content-Length. */
    public static boolean respond(Received request, OutputStream out, int status, String body)
            throws IOException {
        out.write((head(request.id(), status, body.length()) + body).getBytes(ISO_8859_1));
        return true;
    }

    /** Formats a response head with the given request id and Content-Length. */
    public static String head(String requestId, int status, int length) {
        return "HTTP/1.1 "
                + status
                + " X\r\nRedwing-Request-Id: "
                + requestId
                + "\r\nContent-Length: "
                + length
                + "\r\n\r\n";
    }

    /** Ends to listen and returns when new connections are refused; open ones go on. */
    public void stopListening() throws IOException {
        mServer.close();
        try {
            // The port stays open until the accepting thread has returned from the system call.
            mAcceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes everything and returns when new connections are refused. */
    @Override
    public void close() throws IOException {
        stopListening();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }
}
