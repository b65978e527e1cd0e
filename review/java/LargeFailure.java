package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/** Grey workers of a download route fail requests with answers of more than 4 MiB. */
final class LargeFailure extends Scenario {
    private static final int LARGE_BYTES = 5 << 20;
    private static final int WORKERS = 15;
    private static final int GREY_WORKERS = 2;

    /** The part of its requests that a grey worker fails. */
    private static final double GREY_PART = 0.45;

    private static final int CLIENTS = 4;
    private static final int REQUESTS_PER_CLIENT = 75;
    private static final long PAUSE_MILLIS = 250;
    private static final long ANSWER_BOUND_MILLIS = Manifest.TIMEOUT_MILLIS + 500;
    private static final long CLIENT_PATIENCE_MILLIS = 5000;

    public static void main(String[] arguments) {
        run(new LargeFailure(), arguments);
    }

    @Override
    boolean play() throws Exception {
        byte[] body = bytes(LARGE_BYTES);
        List<WorkerStandin> workers = new ArrayList<>();
        try (StoreStandin store = new StoreStandin(mRecord);
                HostProcess host =
                        new HostProcess("edge-viti-suva-1", HostProcess.ZONE, mTemp, mRecord);
                ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < WORKERS; i++) {
                boolean grey = mTrouble && i < GREY_WORKERS;
                AtomicInteger requests = new AtomicInteger();
                WorkerStandin worker =
                        new WorkerStandin(
                                "i-" + i,
                                "kafi81c",
                                HostProcess.ZONE,
                                mRecord,
                                (self, request, out) -> {
                                    Thread.sleep(25);
                                    int number = requests.getAndIncrement();
                                    boolean fails =
                                            grey
                                                    && (int) ((number + 1) * GREY_PART)
                                                            > (int) (number * GREY_PART);
                                    self.send(request, out, fails ? 500 : 200, body);
                                });
                workers.add(worker);
                store.put("servers", worker.id(), worker.entry("ready", "0ms", 1700000000000L, 1));
            }
            store.put("op", "config", Manifest.json(7, Manifest.TIMEOUT_MILLIS));
            host.start(store.address(), List.of(host));
            host.awaitReady();
            Thread.sleep(4000);
            List<Future<List<Client.Result>>> all = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                all.add(clients.submit(() -> requests(host, number)));
            }
            int late = 0;
            int unanswered = 0;
            int never = 0;
            for (Future<List<Client.Result>> results : all) {
                for (Client.Result result : results.get()) {
                    late += result.millis() > Manifest.TIMEOUT_MILLIS ? 1 : 0;
                    unanswered += result.millis() > ANSWER_BOUND_MILLIS ? 1 : 0;
                    never += result.status() == 0 ? 1 : 0;
                }
            }
            mRecord.line(
                    "%d requests; unanswered after %d ms (the route's timeout): %d, after %d ms: %d,"
                            + " after %d ms: %d",
                    CLIENTS * REQUESTS_PER_CLIENT,
                    Manifest.TIMEOUT_MILLIS,
                    late,
                    ANSWER_BOUND_MILLIS,
                    unanswered,
                    CLIENT_PATIENCE_MILLIS,
                    never);
            return late < 8 || unanswered * 2 <= late;
        } finally {
            for (WorkerStandin worker : workers) {
                worker.close();
            }
        }
    }

    private List<Client.Result> requests(HostProcess host, int number) throws Exception {
        List<Client.Result> results = new ArrayList<>();
        try (Client client = new Client(host.port(), mRecord)) {
            for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
                int object = i * CLIENTS + number;
                results.add(
                        client.send(
                                "GET",
                                Manifest.DOWNLOAD + object,
                                "" + object,
                                null,
                                1500,
                                CLIENT_PATIENCE_MILLIS));
                Thread.sleep(PAUSE_MILLIS);
            }
        }
        return results;
    }
}
