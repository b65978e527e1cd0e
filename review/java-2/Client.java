import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.atomic.AtomicLong;

/** Sends requests to one entry host at a steady rate, on connections that it keeps. */
final class Client {
    /** A request; {@code status} is -1 while it is open and 0 if it ended without an answer. */
    static final class Call {
        final String id;
        final String host;
        final String path;
        final long sentAt;
        volatile long endedAt;
        volatile int status = -1;
        volatile String text = "";

        /** Whether the request was sent on a connection that had carried another one. */
        volatile boolean kept;

        /** Whether the host had run for long enough to be in touch. */
        final boolean inTouch;

        Call(String id, Host host, String path, long sentAt) {
            this.id = id;
            this.host = host.name;
            this.inTouch = sentAt - host.startedAt > Main.CONTACT_MILLIS;
            this.path = path;
            this.sentAt = sentAt;
        }
    }

    static final Map<String, Call> CALLS = new ConcurrentHashMap<>();
    private static final int OBJECTS = 29;
    private static final AtomicLong IDS = new AtomicLong();

    private final Record mRecord;
    private final Host mHost;
    private final LinkedBlockingDeque<Socket> mIdle = new LinkedBlockingDeque<>();
    private volatile boolean mStopped;
    final List<Call> calls = new CopyOnWriteArrayList<>();

    Client(Record record, Host host) {
        mRecord = record;
        mHost = host;
    }

    /** Sends a request every {@code gapMillis} until {@link #stop}. */
    Client start(String method, String path, long gapMillis, long deadlineMillis) {
        Thread.ofVirtual()
                .start(
                        () -> {
                            while (!mStopped) {
                                Thread.ofVirtual().start(() -> call(method, path, deadlineMillis));
                                Main.sleep(gapMillis);
                            }
                        });
        return this;
    }

    void stop() {
        mStopped = true;
    }

    /** Sends an order with the given framing and returns the status lines of what comes back. */
    static String raw(Host host, String id, String framing, String body) throws IOException {
        StringBuilder answers = new StringBuilder();
        try (Socket socket = new Socket(InetAddress.getByName(Host.ADDRESS), host.clients)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(1_000);
            String head =
                    "POST /orders/outer HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: "
                            + id
                            + "\r\nDeadline-Ms: 2500\r\n"
                            + framing
                            + "\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 0; i < 2; i++) {
                Http.Message answer = Http.read(socket.getInputStream());
                if (answer == null) {
                    return answers + "end";
                }
                answers.append(answer.start()).append(" (").append(answer.header("Request-Id"));
                answers.append("); ");
            }
        } catch (IOException e) {
            answers.append(e.getMessage());
        }
        return answers.toString();
    }

    Call call(String method, String path, long deadlineMillis) {
        String id = String.format("%016x", 0x5eed0000L + IDS.incrementAndGet());
        Call call = new Call(id, mHost, path, mRecord.now());
        CALLS.put(id, call);
        calls.add(call);
        mRecord.line("client sends %s %s %s to %s", id, method, path, mHost.name);
        Socket socket = mIdle.pollFirst();
        call.kept = socket != null;
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(
                        new InetSocketAddress(InetAddress.getByName(Host.ADDRESS), mHost.clients),
                        1_000);
            }
            socket.setSoTimeout((int) deadlineMillis + 1_000);
            Http.write(
                    socket.getOutputStream(),
                    method + " " + path + " HTTP/1.1",
                    "Host: shop.example\r\nRequest-Id: "
                            + id
                            + "\r\nAffinity-Key: "
                            + (IDS.get() * 7 % OBJECTS)
                            + "\r\nDeadline-Ms: "
                            + deadlineMillis
                            + "\r\n",
                    method.equals("GET") ? new byte[0] : id.getBytes(StandardCharsets.UTF_8));
            Http.Message answer = Http.read(socket.getInputStream());
            if (answer == null) {
                throw new IOException("connection closed without an answer");
            }
            call.text = answer.text().strip();
            call.status = answer.status();
            if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                socket.close();
            } else {
                mIdle.addFirst(socket);
            }
        } catch (IOException e) {
            call.status = 0;
            call.text = e.toString();
            if (socket != null) {
                Http.reset(socket);
            }
        }
        call.endedAt = mRecord.now();
        mRecord.line("client got %d for %s (%s)", call.status, id, call.text);
        return call;
    }
}
