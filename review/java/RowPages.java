package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Workers drain one after the other while a host restarts and reads the table of workers. */
final class RowPages extends Scenario {
    private static final long DRAIN_MILLIS = 2500;
    private static final int WORKERS = 520;

    /** The workers that drain one after the other, of those that serve the clients' route. */
    private static final int LEAVING = 40;

    private static final int SERVING = 60;
    private static final long STEP_MILLIS = 40;
    private static final long CONTACT_MILLIS = 3000;

    private volatile boolean mEnded;

    public static void main(String[] arguments) {
        run(new RowPages(), arguments);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    boolean play() throws Exception {
        List<WorkerStandin> workers = new ArrayList<>();
        try (StoreStandin store = new StoreStandin(mRecord);
                HostProcess host =
                        new HostProcess("edge-viti-suva-1", HostProcess.ZONE, mTemp, mRecord);
                ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < WORKERS; i++) {
                WorkerStandin worker =
                        new WorkerStandin(
                                String.format("i-%04d", i),
                                i < SERVING ? "huvo11a" : "kafi81c",
                                HostProcess.ZONE,
                                mRecord,
                                (self, request, out) -> {
                                    Thread.sleep(25);
                                    self.send(request, out, 200, bytes(400));
                                });
                workers.add(worker);
                store.put("servers", worker.id(), worker.entry("ready", "0ms", 1700000000000L, 1));
            }
            store.put("op", "config", Manifest.json(7, Manifest.TIMEOUT_MILLIS));
            host.start(store.address(), List.of(host));
            host.awaitReady();
            Thread.sleep(4000);
            long[] confirmed = new long[LEAVING];
            Thread release =
                    Thread.ofVirtual()
                            .start(
                                    () -> {
                                        for (int i = 0; i < LEAVING; i++) {
                                            WorkerStandin worker = workers.get(i);
                                            store.put(
                                                    "servers",
                                                    worker.id(),
                                                    worker.entry(
                                                            "draining", "0ms", 1700000000000L, 2));
                                            confirmed[i] = System.nanoTime();
                                            mRecord.line(
                                                    "the store has accepted that %s drains",
                                                    worker.id());
                                            pause(STEP_MILLIS);
                                        }
                                    });
            if (mTrouble) {
                host.kill();
                host.start(store.address(), List.of(host));
                host.awaitReady();
            }
            release.join();
            // The rule holds for the host again.
            Thread.sleep(CONTACT_MILLIS);
            mRecord.line("clients start");
            for (int i = 0; i < 10; i++) {
                int number = i;
                clients.submit(
                        () -> {
                            try (Client client = new Client(host.port(), mRecord)) {
                                for (int n = 0; !mEnded; n++) {
                                    client.send(
                                            "GET",
                                            Manifest.READ + n,
                                            "" + n * 10 + number,
                                            null,
                                            2000,
                                            2500);
                                    Thread.sleep(200);
                                }
                            }
                            return null;
                        });
            }
            Thread.sleep(5000);
            mEnded = true;
            clients.shutdown();
            int late = 0;
            for (int i = 0; i < LEAVING; i++) {
                int here = 0;
                for (long run : workers.get(i).runs()) {
                    here += run - confirmed[i] > DRAIN_MILLIS * 1_000_000 ? 1 : 0;
                }
                if (here > 0) {
                    mRecord.line(
                            "requests at worker %s later than %d ms after the store accepted that"
                                    + " it drains: %d",
                            workers.get(i).id(), DRAIN_MILLIS, here);
                }
                late += here;
            }
            mRecord.line("late requests: %d", late);
            return late == 0;
        } finally {
            for (WorkerStandin worker : workers) {
                worker.close();
            }
        }
    }
}
