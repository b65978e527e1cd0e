package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** A zone's worker crashes and returns cold under its id while the store is down. */
final class ColdReturn extends Scenario {
    private static final double COLD_PER_SECOND = 9.5;
    private static final double COLD_OVER = 1.5;
    private static final double COLD_SLACK = 5;
    private static final double BOUND = COLD_PER_SECOND * COLD_OVER + COLD_SLACK;
    private static final long COLD_MILLIS = 3000;
    private static final long DOWN_MILLIS = 2000;
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final int CLIENTS = 60;
    private static final long PAUSE_MILLIS = 300;
    private static final String HEAT = "the cold worker crashes: %d requests in a second";

    private volatile boolean mEnded;
    private volatile boolean mHot;
    private volatile long mColdSince = Long.MAX_VALUE;

    public static void main(String[] arguments) {
        run(new ColdReturn(), arguments);
    }

    @Override
    boolean play() throws Exception {
        List<WorkerStandin> workers = new ArrayList<>();
        try (StoreStandin store = new StoreStandin(mRecord);
                HostProcess host =
                        new HostProcess("edge-viti-suva-1", HostProcess.ZONE, mTemp, mRecord);
                ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < 4; i++) {
                boolean first = i == 0;
                WorkerStandin worker =
                        new WorkerStandin(
                                "i-" + i,
                                "wuno96b",
                                i == 0 ? "viti-nadi" : HostProcess.ZONE,
                                mRecord,
                                (self, request, out) -> {
                                    Thread.sleep(10);
                                    // Crashes at twice the rate that the rule allows.
                                    if (first && cold() && !mHot && most(self) > 2 * BOUND) {
                                        mHot = true;
                                        mRecord.line(HEAT, most(self));
                                        self.crash();
                                    }
                                    self.send(request, out, 200, bytes(400));
                                });
                workers.add(worker);
                store.put("servers", worker.id(), worker.entry("ready", "0ms", 1700000000000L, 1));
            }
            store.put("op", "config", Manifest.json(7, Manifest.TIMEOUT_MILLIS));
            host.start(store.address(), List.of(host));
            host.awaitReady();
            Thread.sleep(4000);
            List<Future<Integer>> lost = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                lost.add(clients.submit(() -> orders(host, number)));
            }
            Thread.sleep(3000);
            WorkerStandin cold = workers.get(0);
            if (mTrouble) {
                store.down(true);
                Thread.sleep(500);
                cold.crash();
                mRecord.line("worker %s crashes", cold.id());
                Thread.sleep(DOWN_MILLIS);
                mColdSince = System.nanoTime();
                cold.restart();
                mRecord.line("worker %s is back, cold for %d ms", cold.id(), COLD_MILLIS);
            }
            Thread.sleep(COLD_MILLIS + 500);
            mEnded = true;
            int lostOrders = 0;
            for (Future<Integer> count : lost) {
                lostOrders += count.get();
            }
            int most = most(cold);
            mRecord.line(
                    "most requests to the cold worker in a second: %d, bound %.2f; orders lost"
                            + " while it was cold: %d",
                    most, BOUND, lostOrders);
            return most <= BOUND;
        } finally {
            for (WorkerStandin worker : workers) {
                worker.close();
            }
        }
    }

    private boolean cold() {
        long since = System.nanoTime() - mColdSince;
        return since >= 0 && since < COLD_MILLIS * 1_000_000L;
    }

    /** Returns the most requests that a worker ran in a second while it was cold. */
    private int most(WorkerStandin worker) {
        List<Long> cold = new ArrayList<>();
        for (long run : worker.runs()) {
            if (run - mColdSince >= 0 && run - mColdSince < COLD_MILLIS * 1_000_000L) {
                cold.add(run);
            }
        }
        int most = 0;
        for (int last = 0, first = 0; last < cold.size(); last++) {
            while (cold.get(last) - cold.get(first) >= SECOND_NANOS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /** Sends orders until the end; returns those that failed while the worker was cold. */
    private int orders(HostProcess host, int number) throws Exception {
        int lost = 0;
        try (Client client = new Client(host.port(), mRecord)) {
            for (int n = 0; !mEnded; n++) {
                Client.Result result =
                        client.send(
                                "POST",
                                Manifest.COMMIT + number,
                                "" + (number + CLIENTS * (n % 2)),
                                bytes(300),
                                2500,
                                3000);
                // A refusal (503) is no loss: the client may send the order again.
                if (cold() && result.status() != 200 && result.status() != 503) {
                    lost++;
                }
                Thread.sleep(PAUSE_MILLIS);
            }
        }
        return lost;
    }
}
