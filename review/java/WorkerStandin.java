package review;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of one worker; the behaviour decides how it answers. */
final class WorkerStandin implements AutoCloseable {
    /** Answers one request. */
    interface Behaviour {
        void answer(WorkerStandin worker, Http.Message request, OutputStream out)
                throws IOException, InterruptedException;
    }

    private final String mId;
    private final String mService;
    private final String mZone;
    private final Record mRecord;
    private final Behaviour mBehaviour;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private final List<Long> mRuns = new ArrayList<>();
    private final int mPort;
    private ServerSocket mServer;

    WorkerStandin(String id, String service, String zone, Record record, Behaviour behaviour)
            throws IOException {
        mId = id;
        mService = service;
        mZone = zone;
        mRecord = record;
        mBehaviour = behaviour;
        mServer = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        mPort = mServer.getLocalPort();
        listen(mServer);
    }

    private void listen(ServerSocket server) {
        Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                while (true) {
                                    Socket socket = server.accept();
                                    mOpen.add(socket);
                                    Thread.ofVirtual().start(() -> serve(socket));
                                }
                            } catch (IOException e) {
                                // The worker has ended.
                            }
                        });
    }

    String id() {
        return mId;
    }

    /** Returns the worker's entry in the store. */
    String entry(String state, String coldLeft, long born, int sequence) {
        return String.format(
                Locale.ROOT,
                "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                        + "\"slots\":4,\"state\":\"%s\",\"cold_left\":\"%s\",\"seq\":%d,"
                        + "\"born\":%d}",
                mService,
                mPort,
                mZone,
                state,
                coldLeft,
                sequence,
                born);
    }

    /** Returns the instants at which requests began to run. */
    synchronized List<Long> runs() {
        return new ArrayList<>(mRuns);
    }

    /** Ends the worker as a crash does: its connections are reset and its port is closed. */
    void crash() throws IOException {
        mServer.close();
        for (Socket socket : mOpen) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // The host has closed the connection already.
            }
        }
        mOpen.clear();
    }

    /** Starts the worker again at its address. */
    void restart() throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), mPort), 256);
        mServer = server;
        listen(server);
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = new BufferedOutputStream(socket.getOutputStream());
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                Http.Message request = new Http.Message(head, Http.readBody(in, head));
                String expected = head.header("Expect-Instance");
                if (expected != null && !expected.equals(mId)) {
                    out.write(
                            ("HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nRequest-Id: "
                                            + head.header("Request-Id")
                                            + "\r\nInstance-Id: "
                                            + mId
                                            + "\r\nContent-Length: 0\r\n\r\n")
                                    .getBytes(StandardCharsets.UTF_8));
                } else {
                    synchronized (this) {
                        mRuns.add(System.nanoTime());
                    }
                    mRecord.line(
                            "worker %s (%s) runs %s %s %s",
                            mId, mService, head.header("Request-Id"), head.method(), head.target());
                    mBehaviour.answer(this, request, out);
                }
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The host closed the connection or the worker has ended.
        } finally {
            mOpen.remove(socket);
        }
    }

    /** Writes a whole answer with the worker's receipt. */
    void send(Http.Message request, OutputStream out, int status, byte[] body) throws IOException {
        out.write(
                ("HTTP/1.1 "
                                + status
                                + " x\r\nRequest-Id: "
                                + request.head().header("Request-Id")
                                + "\r\nServer-Stamp: "
                                + mId
                                + "."
                                + request.head().header("Request-Id")
                                + "\r\nServer-Load: 1,0,4\r\nContent-Length: "
                                + body.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.UTF_8));
        out.write(body);
    }

    @Override
    public void close() throws IOException {
        crash();
    }
}
