package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Many clients send orders with large bodies at once; afterwards the host is asked again. */
final class LargeBodies extends Scenario {
    /** The timeout and the deadline of orders at hkgn-ladder. */
    private static final int TIMEOUT_MILLIS = 3000;

    private static final long ANSWER_BOUND_MILLIS = TIMEOUT_MILLIS + 500;
    private static final int UPLOADS = 180;

    /** A 64th of max_body_bytes. */
    private static final int LARGE_BYTES = Manifest.MAX_BODY_BYTES / 64;

    private static final int SMALL_BYTES = 300;

    /** All uploads together take 503 Mbit/s of the 700 Mbit/s of the machine's link. */
    private static final long UPLOAD_MILLIS = 3000;

    private static final long DEADLINE_MILLIS = 6000;
    private static final long CALM_MILLIS = 10_000;
    /** Small orders during the uploads, 40 a second. */
    private static final int USUAL_REQUESTS = 200;

    private static final int LATER_REQUESTS = 40;

    public static void main(String[] arguments) {
        run(new LargeBodies(), arguments);
    }

    @Override
    boolean play() throws Exception {
        List<WorkerStandin> workers = new ArrayList<>();
        try (StoreStandin store = new StoreStandin(mRecord);
                HostProcess host =
                        new HostProcess("edge-viti-suva-1", HostProcess.ZONE, mTemp, mRecord);
                ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < 12; i++) {
                WorkerStandin worker =
                        new WorkerStandin(
                                "i-" + i,
                                "wuno96b",
                                HostProcess.ZONE,
                                mRecord,
                                (self, request, out) -> {
                                    Thread.sleep(25);
                                    self.send(request, out, 200, bytes(400));
                                });
                workers.add(worker);
                store.put("servers", worker.id(), worker.entry("ready", "0ms", 1700000000000L, 1));
            }
            store.put("op", "config", Manifest.json(7, TIMEOUT_MILLIS));
            host.start(store.address(), List.of(host));
            host.awaitReady();
            Thread.sleep(4000);
            byte[] body = bytes(mTrouble ? LARGE_BYTES : SMALL_BYTES);
            List<Future<Client.Result>> uploads = new ArrayList<>();
            List<Future<Client.Result>> usual = new ArrayList<>();
            for (int i = 0; i < UPLOADS; i++) {
                String object = "large" + i;
                uploads.add(clients.submit(() -> order(host, object, body, UPLOAD_MILLIS)));
            }
            for (int i = 0; i < USUAL_REQUESTS; i++) {
                String object = "usual" + i;
                usual.add(clients.submit(() -> order(host, object, bytes(SMALL_BYTES), 0)));
                Thread.sleep(25);
            }
            for (Future<Client.Result> upload : uploads) {
                upload.get();
            }
            boolean held = held("small orders during the uploads", usual);
            mRecord.line("all uploads have ended, and their connections are closed");
            Thread.sleep(CALM_MILLIS);
            List<Future<Client.Result>> later = new ArrayList<>();
            for (int i = 0; i < LATER_REQUESTS; i++) {
                String object = "later" + i;
                later.add(clients.submit(() -> order(host, object, bytes(SMALL_BYTES), 0)));
                Thread.sleep(100);
            }
            held &= held("small orders in the calm after them", later);
            boolean alive = host.alive();
            for (String line : host.logLines("OutOfMemoryError")) {
                if (line.contains("thread \"")) {
                    mRecord.line("log of the host: %s", line);
                }
            }
            mRecord.line("the process %s", alive ? "runs" : "has ended by itself");
            return held;
        } finally {
            for (WorkerStandin worker : workers) {
                worker.close();
            }
        }
    }

    /** Returns whether the rule holds for some requests. */
    private boolean held(String name, List<Future<Client.Result>> results) throws Exception {
        int answered = 0;
        int late = 0;
        int unanswered = 0;
        for (Future<Client.Result> result : results) {
            answered += result.get().status() != 0 ? 1 : 0;
            late += result.get().millis() > TIMEOUT_MILLIS ? 1 : 0;
            unanswered += result.get().millis() > ANSWER_BOUND_MILLIS ? 1 : 0;
        }
        mRecord.line(
                "%d %s: %d answered, unanswered after %d ms: %d, after %d ms: %d",
                results.size(),
                name,
                answered,
                TIMEOUT_MILLIS,
                late,
                ANSWER_BOUND_MILLIS,
                unanswered);
        return unanswered < 8 || unanswered * 2 <= late;
    }

    private Client.Result order(HostProcess host, String object, byte[] body, long bodyMillis) {
        try (Client client = new Client(host.port(), mRecord).bodyMillis(bodyMillis)) {
            return client.send(
                    "POST",
                    Manifest.COMMIT + object,
                    object,
                    body,
                    DEADLINE_MILLIS,
                    DEADLINE_MILLIS);
        }
    }
}
