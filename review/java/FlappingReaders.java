package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The two readers of a region lose the store again and again; meanwhile workers leave. */
final class FlappingReaders extends Scenario {
    private static final long DRAIN_MILLIS = 2500;
    private static final long CUT_MILLIS = 450;
    private static final long WHOLE_MILLIS = 1350;

    /** The workers of tabua-orders. */
    private static final int FIRST = 44;

    /** Changes one after the other: 32 workers join, 20 of the first drain and 4 are removed. */
    private static final int CHANGES = 56;

    /** A release of 0.45 of the workers, and a scale_out of 0.27. */
    private static final int DRAINING = 20;

    private static final long CHANGE_MILLIS = 150;
    private static final int OBJECTS = 400;

    /** Of the first workers, those whose entries are removed, one after the other. */
    private static final int LEAVING = 4;

    private static final int CLIENTS_PER_HOST = 8;
    private static final String FOLLOWS = "\"event\":\"follows\"";

    private volatile boolean mEnded;

    public static void main(String[] arguments) {
        run(new FlappingReaders(), arguments);
    }

    @Override
    boolean play() throws Exception {
        List<WorkerStandin> workers = new ArrayList<>();
        List<HostProcess> hosts = new ArrayList<>();
        List<FlakyLink> links = new ArrayList<>();
        try (StoreStandin store = new StoreStandin(mRecord);
                ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < FIRST; i++) {
                workers.add(worker(i, store));
            }
            store.put("op", "config", Manifest.json(7, Manifest.TIMEOUT_MILLIS));
            for (String zone : List.of("viti-suva", "viti-nadi")) {
                for (int i = 1; i <= 3; i++) {
                    hosts.add(new HostProcess("edge-" + zone + "-" + i, zone, mTemp, mRecord));
                    links.add(new FlakyLink(store.address()));
                }
            }
            for (int i = 0; i < hosts.size(); i++) {
                hosts.get(i).start(links.get(i).address(), hosts.subList(0, 3));
            }
            for (HostProcess host : hosts) {
                host.awaitReady();
            }
            Thread.sleep(6000);
            List<FlakyLink> flapping = new ArrayList<>();
            for (int i = 0; i < hosts.size(); i++) {
                if (reader(hosts.get(i))) {
                    mRecord.line("host %s reads the store", hosts.get(i).name());
                    flapping.add(links.get(i));
                } else {
                    for (int n = 0; n < CLIENTS_PER_HOST; n++) {
                        int number = n;
                        HostProcess host = hosts.get(i);
                        tasks.submit(() -> requests(host, number));
                    }
                }
            }
            if (flapping.size() != 2) {
                throw new IllegalStateException(flapping.size() + " readers, expected 2");
            }
            if (mTrouble) {
                tasks.submit(() -> flap(flapping.get(0), 0));
                tasks.submit(() -> flap(flapping.get(1), (CUT_MILLIS + WHOLE_MILLIS) / 2));
            }
            long[] confirmed = new long[LEAVING];
            int drained = 0;
            for (int i = 0; i < CHANGES; i++) {
                Thread.sleep(CHANGE_MILLIS);
                int leaver = i / 5 - 2;
                if (i % 5 == 0 && leaver >= 0 && leaver < LEAVING) {
                    WorkerStandin leaving = workers.get(leaver);
                    store.put("servers", leaving.id(), null);
                    confirmed[leaver] = System.nanoTime();
                    mRecord.line("the store has removed the entry of worker %s", leaving.id());
                } else if (i % 2 == 1 && drained < DRAINING) {
                    WorkerStandin old = workers.get(LEAVING + drained++);
                    store.put(
                            "servers", old.id(), old.entry("draining", "0ms", 1700000000000L, 2));
                } else {
                    workers.add(worker(FIRST + i, store));
                }
            }
            mEnded = true;
            int late = 0;
            long last = 0;
            for (int i = 0; i < LEAVING; i++) {
                for (long run : workers.get(i).runs()) {
                    last = Math.max(last, (run - confirmed[i]) / 1_000_000);
                    late += run - confirmed[i] > DRAIN_MILLIS * 1_000_000 ? 1 : 0;
                }
            }
            mRecord.line(
                    "requests later than %d ms after the entry of their worker was removed, from"
                            + " hosts that were never cut off: %d, the last after %d ms",
                    DRAIN_MILLIS, late, last);
            return late == 0;
        } finally {
            mEnded = true;
            for (HostProcess host : hosts) {
                host.close();
            }
            for (FlakyLink link : links) {
                link.close();
            }
            for (WorkerStandin worker : workers) {
                worker.close();
            }
        }
    }

    /** Returns whether a host watches the store, as its log says. */
    private static boolean reader(HostProcess host) throws Exception {
        List<String> lines =
                host.logLines("\"table\":\"SERVERS\"").stream()
                        .filter(line -> line.contains(FOLLOWS) || line.contains("relies-on-others"))
                        .toList();
        return !lines.isEmpty() && lines.get(lines.size() - 1).contains(FOLLOWS);
    }

    private WorkerStandin worker(int number, StoreStandin store) throws Exception {
        WorkerStandin worker =
                new WorkerStandin(
                        "i-" + number,
                        "huvo11a",
                        HostProcess.ZONE,
                        mRecord,
                        (self, request, out) -> {
                            Thread.sleep(25);
                            self.send(request, out, 200, bytes(400));
                        });
        store.put("servers", worker.id(), worker.entry("ready", "0ms", 1700000000000L, 1));
        return worker;
    }

    private Void requests(HostProcess host, int number) throws Exception {
        try (Client client = new Client(host.port(), mRecord)) {
            for (int n = 0; !mEnded; n++) {
                client.send(
                        "GET",
                        Manifest.READ + n,
                        "" + (n * CLIENTS_PER_HOST + number) % OBJECTS,
                        null,
                        2000,
                        2500);
                Thread.sleep(150);
            }
        }
        return null;
    }

    private Void flap(FlakyLink link, long delayMillis) throws Exception {
        Thread.sleep(delayMillis);
        while (!mEnded) {
            mRecord.line("link %s to the store is cut", link.address());
            link.cut();
            Thread.sleep(CUT_MILLIS);
            mRecord.line("link %s to the store is whole", link.address());
            link.heal();
            Thread.sleep(WHOLE_MILLIS);
        }
        return null;
    }
}
