import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in of a worker: runs requests in slots, registers itself and leaves. */
final class Worker {
    static final long HEARTBEAT_MILLIS = 1_500;

    /** An arrival of a request; {@code status} is 0 while it runs or if its answer was cut off. */
    static final class Arrival {
        final String id;
        final long at;
        final boolean run;
        volatile int status;

        Arrival(String id, long at, boolean run) {
            this.id = id;
            this.at = at;
            this.run = run;
        }
    }

    final String id;
    final String service;
    final String zone;
    final int slots;
    final long workMillis;
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final Record mRecord;
    private final Store mStore;
    private final ServerSocket mSocket;
    private final Set<Socket> mOpen = Collections.synchronizedSet(new HashSet<>());
    private final AtomicInteger mRunning = new AtomicInteger();
    private final long mBorn = System.currentTimeMillis();
    private volatile boolean mDraining;
    private volatile boolean mEnded;
    private volatile boolean mTellLeaving;
    private int mSequence;

    /** When the store accepted the report that the worker drains; 0 before. */
    volatile long drainAcceptedAt;

    /** When the first answer that said so was sent after the worker began to leave; 0 before. */
    volatile long leavingToldAt;

    Worker(
            Record record,
            Store store,
            String id,
            String service,
            String zone,
            int slots,
            long workMillis)
            throws IOException {
        mRecord = record;
        mStore = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMillis = workMillis;
        mSocket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::beat);
    }

    /** Says in its answers that it leaves, once it does. */
    Worker tellLeaving() {
        mTellLeaving = true;
        return this;
    }

    private boolean report() {
        synchronized (this) {
            mSequence++;
            return mStore.write(
                    "servers",
                    id,
                    String.format(
                            "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                                    + "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
                                    + "\"cold_left\":\"0ms\",\"seq\":%d,\"born\":%d}",
                            service,
                            mSocket.getLocalPort(),
                            zone,
                            slots,
                            mDraining ? "draining" : "ready",
                            mSequence,
                            mBorn));
        }
    }

    private void beat() {
        while (!mEnded) {
            report();
            Main.sleep(HEARTBEAT_MILLIS);
        }
    }

    /**
     * Reports that it drains, serves for {@code serveMillis} after the store has accepted that, and
     * exits.
     */
    void leave(long serveMillis) {
        Thread.ofVirtual()
                .start(
                        () -> {
                            mDraining = true;
                            while (!report()) {
                                Main.sleep(50);
                            }
                            drainAcceptedAt = mRecord.now();
                            mRecord.tell("worker %s: draining, accepted by the store", id);
                            Main.sleep(serveMillis);
                            end();
                        });
    }

    private void end() {
        mEnded = true;
        int cut = mRunning.get();
        mRecord.tell("worker %s: exits with %d requests at work", id, cut);
        mStore.write("servers", id, null);
        try {
            mSocket.close();
        } catch (IOException e) {
            // The address is given up anyway.
        }
        synchronized (mOpen) {
            mOpen.forEach(Http::reset);
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket client = mSocket.accept();
                client.setTcpNoDelay(true);
                mOpen.add(client);
                Thread.ofVirtual().start(() -> serve(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket client) {
        try (client) {
            while (true) {
                Http.Message request = Http.read(client.getInputStream());
                if (request == null || !handle(request, client)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The connection was closed; its request has been recorded.
        } finally {
            mOpen.remove(client);
        }
    }

    private boolean handle(Http.Message request, Socket client) throws IOException {
        String requestId = String.valueOf(request.header("Request-Id"));
        boolean leaving = mDraining;
        String common =
                "Request-Id: "
                        + requestId
                        + "\r\nServer-Load: "
                        + mRunning.get()
                        + ",0,"
                        + slots
                        + "\r\n"
                        + (leaving && mTellLeaving ? "Server-Leaving: 1\r\n" : "")
                        + (leaving ? "Connection: close\r\n" : "");
        if (!id.equals(request.header("Expect-Instance"))) {
            Http.write(
                    client.getOutputStream(),
                    "HTTP/1.1 421 Misdirected Request",
                    common + "Instance-Id: " + id + "\r\n",
                    new byte[0]);
            return !leaving;
        }
        int running = mRunning.incrementAndGet();
        try {
            boolean run = running <= slots;
            Arrival arrival = new Arrival(requestId, mRecord.now(), run);
            arrivals.add(arrival);
            mRecord.line("%s %s %s", id, run ? "runs" : "rejects", requestId);
            if (!run) {
                arrival.status = 503;
                Http.write(
                        client.getOutputStream(),
                        "HTTP/1.1 503 Service Unavailable",
                        common + "Not-Run: 1\r\n",
                        new byte[0]);
                return !leaving;
            }
            Main.sleep(workMillis);
            if (mEnded) {
                mRecord.line("%s ended before its answer to %s", id, requestId);
                return false;
            }
            Http.write(
                    client.getOutputStream(),
                    "HTTP/1.1 200 OK",
                    common + "Server-Stamp: s." + id + "." + requestId + "\r\n",
                    ("done " + requestId + " by " + id).getBytes(StandardCharsets.UTF_8));
            arrival.status = 200;
            if (leaving && mTellLeaving && leavingToldAt == 0) {
                leavingToldAt = mRecord.now();
                mRecord.tell("worker %s: said Server-Leaving in its answer to %s", id, requestId);
            }
            return !leaving;
        } finally {
            mRunning.decrementAndGet();
        }
    }
}
