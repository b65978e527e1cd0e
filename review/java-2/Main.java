import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Runs one case and exits with 1 if a rule was broken, 0 if it held, 2 if it could not run. */
public final class Main {
    /** Bounds of the settings page, in milliseconds. */
    static final long DRAIN_MILLIS = 2_500;

    static final long CONFIG_MILLIS = 2_500;

    static final long CONTACT_MILLIS = 3_000;

    /** The longest value of a row, `row_bytes` of the settings page. */
    static final int ROW_BYTES = 65_536;

    static final int ENTRIES = 500;

    static final String SERVICES =
            "\"services\":{\"columns\":[\"name\",\"health_path\",\"max_conns\",\"protocol\",\"tls\","
                    + "\"cold\",\"cold_per_s\"],\"rows\":["
                    + "[\"desk\",\"/healthz\",815,\"h1\",false,\"3s\",9.5],"
                    + "[\"catalog\",\"/healthz\",815,\"h1\",false,\"3s\",9.5]]},"
                    + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
                    + "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";

    final Record record;
    final boolean trouble;
    final Path root;
    final Path folder;
    final Store store;
    final List<Host> hosts = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    final List<Client> clients = new ArrayList<>();
    final Map<String, String> regionOfZone = new TreeMap<>();

    private Main(Path root, Path caseFolder) throws IOException {
        this.root = root;
        record = new Record(caseFolder.resolve("record.txt"));
        trouble = !"0".equals(System.getenv("TROUBLE"));
        folder = Files.createTempDirectory("review-case");
        store = new Store(record);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public static void main(String[] arguments) throws IOException {
        int result = 2;
        Main main = new Main(Path.of(arguments[0]), Path.of(arguments[1]));
        Runtime.getRuntime().addShutdownHook(new Thread(main::killHosts));
        try {
            result =
                    switch (arguments[2]) {
                        case "drill" -> main.drill();
                        case "readers" -> main.readers();
                        case "leaving" -> main.leaving();
                        case "hidden" -> main.hidden();
                        case "entries" -> main.entries();
                        default -> throw new IllegalArgumentException(arguments[2]);
                    };
        } catch (IOException | RuntimeException e) {
            main.record.tell("the case could not run: %s", e);
            e.printStackTrace();
        }
        main.killHosts();
        main.record.tell("exit %d", result);
        main.record.close();
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs: " + main.folder);
        } else {
            try (var files = Files.walk(main.folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
        Runtime.getRuntime().halt(result);
    }

    private void killHosts() {
        hosts.forEach(Host::kill);
    }

    /** Writes settings in which {@code /orders/} goes to {@code service}. */
    void settings(int version, String service) {
        String routes =
                "\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeout\",\"goal\","
                        + "\"priority\",\"split\",\"attempts\",\"sticky\",\"home_regions\",\"service\"],"
                        + "\"rows\":[[\"r1\",\"shop.example\",\"/orders/\",\"non_idempotent\",\"2500ms\","
                        + "\"400ms\",1,null,2,true,[],\"%s\"],"
                        + "[\"r2\",\"shop.example\",\"/pages/\",\"idempotent\",\"2000ms\",\"250ms\",2,"
                        + "null,2,false,[],\"catalog\"]]},";
        store.write(
                "op",
                "config",
                "{\"version\":" + version + "," + String.format(routes, service) + SERVICES);
    }

    Host host(String name, String zone) throws IOException {
        Host host = new Host(root, folder, name, zone, store.path(name));
        hosts.add(host);
        return host;
    }

    Worker worker(String id, String service, String zone, long workMillis) throws IOException {
        Worker worker = new Worker(record, store, id, service, zone, 4, workMillis);
        workers.add(worker);
        return worker;
    }

    /** Starts all hosts and waits until they are ready. */
    void startHosts() throws IOException {
        List<String> seeds = hosts.stream().limit(3).map(Host::peerAddress).toList();
        for (Host host : hosts) {
            host.start(regionOfZone, seeds);
        }
        for (int i = 0; i < 200; i++) {
            if (hosts.stream().allMatch(Host::ready)) {
                record.tell("%d hosts are ready", hosts.size());
                return;
            }
            sleep(100);
        }
        for (Host host : hosts) {
            record.tell("%s: ready %s, %s", host.name, host.ready(), host.lastLine());
        }
        throw new IllegalStateException("the hosts are not ready after 20 s");
    }

    Client client(Host host) {
        Client client = new Client(record, host);
        clients.add(client);
        return client;
    }

    void stopClients() {
        clients.forEach(Client::stop);
        sleep(3_000);
    }

    /** Requires that requests are answered before the case proper begins. */
    void requireService() {
        long answered =
                clients.stream().flatMap(c -> c.calls.stream()).filter(c -> c.status == 200).count();
        record.tell("%d requests answered with 200 so far", answered);
        if (answered < 20) {
            throw new IllegalStateException("requests are not served");
        }
    }

    /** Returns the number of calls whose work was started at a worker and that got no 2xx. */
    long lostRuns(Worker worker) {
        long lost = 0;
        for (Worker.Arrival arrival : worker.arrivals) {
            Client.Call call = Client.CALLS.get(arrival.id);
            if (arrival.run
                    && arrival.at >= worker.drainAcceptedAt
                    && (call.status < 200 || call.status >= 300)) {
                record.tell(
                        "%s was at work on %s since %d; its client got %d (%s)",
                        worker.id, arrival.id, arrival.at, call.status, call.text);
                lost++;
            }
        }
        return lost;
    }

    /** Tells of each arrival later than the bound and returns their number. */
    long lateArrivals(Worker worker) {
        long bound = worker.drainAcceptedAt + DRAIN_MILLIS;
        long late = 0;
        for (Worker.Arrival arrival : worker.arrivals) {
            Client.Call call = Client.CALLS.get(arrival.id);
            if (arrival.run && arrival.at > bound && call.inTouch) {
                late++;
                record.line(
                        "late: %s reached %s %d ms after the store had accepted that it drains,"
                                + " by %s; its client got %d",
                        arrival.id,
                        worker.id,
                        arrival.at - worker.drainAcceptedAt,
                        call.host,
                        call.status);
            }
        }
        record.tell(
                "%d requests ran at %s later than %d ms after the store had accepted that it drains",
                late, worker.id, DRAIN_MILLIS);
        return late;
    }

    private void threeRegions(int workersPerZone, long workMillis) throws IOException {
        regionOfZone.putAll(Map.of("z1", "r1", "z2", "r2", "z3", "r3"));
        settings(7, "desk");
        for (int i = 1; i <= 3; i++) {
            host("h" + i, "z" + i);
            for (int j = 0; j < workersPerZone; j++) {
                worker("w" + (workersPerZone * (i - 1) + j + 1), "desk", "z" + i, workMillis);
            }
        }
    }

    /** The store comes back from a copy; later a worker leaves. */
    private int drill() throws IOException {
        long ageMillis = Long.parseLong(System.getenv().getOrDefault("AGE_MS", "8000"));
        threeRegions(3, 400);
        startHosts();
        for (Host host : hosts) {
            client(host).start("POST", "/orders/a", 50, 2_500);
        }
        sleep(3_000);
        requireService();
        if (trouble) {
            Store.Copy copy = store.copy();
            sleep(ageMillis);
            store.mode(Store.Mode.BUSY);
            record.tell("store: away");
            sleep(1_000);
            store.restore(copy);
        } else {
            sleep(ageMillis + 1_000);
        }
        sleep(CONTACT_MILLIS + 200);
        Worker leaving =
                workers.stream().max(Comparator.comparing(w -> w.arrivals.size())).orElseThrow();
        leaving.leave(DRAIN_MILLIS + 700);
        sleep(DRAIN_MILLIS + 4_000);
        stopClients();
        lostRuns(leaving);
        return lateArrivals(leaving) > 0 ? 1 : 0;
    }

    /** The machines that follow the store lose power together, and a route moves; three times. */
    private int readers() throws IOException {
        regionOfZone.putAll(Map.of("z1", "r1", "z2", "r2", "z3", "r3"));
        settings(7, "desk");
        for (int i = 1; i <= 12; i++) {
            host("h" + i, "z" + (i % 3 + 1));
        }
        for (int i = 1; i <= 9; i++) {
            worker("d" + i, "desk", "z" + (i % 3 + 1), 150);
            worker("c" + i, "catalog", "z" + (i % 3 + 1), 150);
        }
        startHosts();
        for (Host host : hosts) {
            client(host).start("POST", "/orders/a", 80, 2_500);
        }
        sleep(6_000);
        requireService();
        String[] services = {"desk", "catalog"};
        long late = 0;
        for (int round = 0; round < 3; round++) {
            sleep(CONTACT_MILLIS + 3_000);
            long now = System.nanoTime();
            List<Host> readers =
                    hosts.stream()
                            .filter(h -> now - h.store.lastFeedNanos < 2_500_000_000L)
                            .toList();
            record.tell("following the store: %s", readers.stream().map(h -> h.name).toList());
            if (trouble) {
                readers.forEach(Host::lose);
                record.tell("these hosts lost power");
            }
            String before = services[round % 2];
            String after = services[(round + 1) % 2];
            settings(8 + round, after);
            long confirmed = record.now();
            record.tell("version %d moves the route from %s to %s", 8 + round, before, after);
            sleep(5_000);
            if (trouble) {
                for (Host host : readers) {
                    host.start(regionOfZone, hosts.stream().map(Host::peerAddress).toList());
                    host.startedAt = record.now();
                }
            }
            sleep(4_000);
            long old = runsByOldService(before, confirmed + CONFIG_MILLIS);
            record.tell(
                    "%d requests sent later than %d ms after the confirmation of version %d were"
                            + " run by %s, through hosts in touch",
                    old, CONFIG_MILLIS, 8 + round, before);
            late += old;
        }
        stopClients();
        return late > 0 ? 1 : 0;
    }

    private long runsByOldService(String service, long boundMillis) {
        long old = 0;
        for (Worker worker : workers) {
            for (Worker.Arrival arrival : worker.arrivals) {
                Client.Call call = Client.CALLS.get(arrival.id);
                if (worker.service.equals(service)
                        && arrival.run
                        && call.sentAt > boundMillis
                        && call.inTouch) {
                    old++;
                    record.line("by the old service: %s, sent to %s", call.id, call.host);
                }
            }
        }
        return old;
    }

    /** Clients hide a request in the body of another, whose framing is not valid. */
    private int hidden() throws IOException {
        regionOfZone.putAll(Map.of("z1", "r1", "z2", "r1"));
        settings(7, "desk");
        for (int i = 1; i <= 2; i++) {
            host("h" + i, "z" + i);
            worker("w" + i, "desk", "z" + i, 50);
        }
        startHosts();
        for (Host host : hosts) {
            client(host).start("POST", "/orders/a", 60, 2_500);
        }
        sleep(3_000);
        requireService();
        List<String> hidden = new ArrayList<>();
        List<String> codings = List.of("xchunked", "chunked;q=1", "");
        for (int i = 0; i < 30; i++) {
            String id = String.format("%016x", 0xabcd0000L + i);
            hidden.add(id);
            String body =
                    "0\r\n\r\nPOST /orders/hidden HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: "
                            + id
                            + "\r\nDeadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n";
            String framing =
                    trouble
                            ? "Transfer-Encoding: " + codings.get(i % codings.size()) + "\r\n"
                            : "Content-Length: " + body.length() + "\r\n";
            String outer = String.format("%016x", 0xdcba0000L + i);
            String answers = Client.raw(hosts.get(i % 2), outer, framing, body);
            record.line("%s with %s got %s", outer, framing.strip(), answers);
            sleep(100);
        }
        stopClients();
        long run = 0;
        for (Worker worker : workers) {
            for (Worker.Arrival arrival : worker.arrivals) {
                if (arrival.run && hidden.contains(arrival.id)) {
                    record.line("%s ran %s, which was text in the body of another", worker.id, arrival.id);
                    run++;
                }
            }
        }
        record.tell("%d of %d requests hidden in bodies were run", run, hidden.size());
        return run > 0 ? 1 : 0;
    }

    /** Another writer leaves entries that can't be read among those of the workers. */
    private int entries() throws IOException {
        threeRegions(3, 150);
        startHosts();
        for (Host host : hosts) {
            client(host).start("POST", "/orders/a", 25, 2_500);
        }
        sleep(CONTACT_MILLIS + 1_000);
        requireService();
        long begin = record.now();
        if (trouble) {
            String value = "x".repeat(ROW_BYTES);
            for (int i = 0; i < ENTRIES; i++) {
                store.write("servers", String.format("x-%05d", i), value);
                sleep(10);
            }
            record.tell("%d entries of %d bytes written", ENTRIES, ROW_BYTES);
        }
        int ends = 0;
        while (record.now() < begin + 25_000) {
            sleep(500);
            for (Host host : hosts) {
                if (!host.alive()) {
                    ends++;
                    record.tell("%s ended by itself: %s", host.name, host.lastLine());
                    host.start(regionOfZone, hosts.stream().map(Host::peerAddress).toList());
                    host.startedAt = record.now();
                }
            }
        }
        stopClients();
        record.tell("hosts ended by themselves %d times", ends);
        long lost = lostByClose();
        record.tell(
                "%d requests from kept connections were passed on to a worker and their"
                        + " connection was closed without an answer, by hosts in touch",
                lost);
        return lost > 3 ? 1 : 0;
    }

    /** Returns the requests of kept connections that were run and whose connection was closed. */
    private long lostByClose() {
        long lost = 0;
        for (Worker worker : workers) {
            for (Worker.Arrival arrival : worker.arrivals) {
                Client.Call call = Client.CALLS.get(arrival.id);
                if (arrival.run && call.status == 0 && call.kept && call.inTouch) {
                    record.line("lost: %s, sent to %s at %d", call.id, call.host, call.sentAt);
                    lost++;
                }
            }
        }
        return lost;
    }

    /** A worker leaves and says so in its answers to hosts that are cut off from the store. */
    private int leaving() throws IOException {
        regionOfZone.putAll(Map.of("z1", "r1", "z2", "r1"));
        settings(7, "desk");
        for (int i = 1; i <= 2; i++) {
            host("h" + i, "z" + i);
            worker("w" + i, "desk", "z" + i, 150).tellLeaving();
        }
        worker("w3", "desk", "z1", 150).tellLeaving();
        startHosts();
        for (Host host : hosts) {
            client(host).start("POST", "/orders/a", 40, 2_500);
        }
        sleep(5_000);
        requireService();
        if (trouble) {
            hosts.forEach(host -> host.store.mode = Store.Mode.SILENT);
            record.tell("both hosts are cut off from the store");
        }
        sleep(100);
        Worker leaving = workers.get(0);
        leaving.leave(DRAIN_MILLIS + 1_500);
        sleep(5_400);
        hosts.forEach(host -> host.store.mode = Store.Mode.SERVING);
        sleep(2_000);
        stopClients();
        lostRuns(leaving);
        lateArrivals(leaving);
        long late = 0;
        for (Host host : hosts) {
            long told = Long.MAX_VALUE;
            for (Worker.Arrival arrival : leaving.arrivals) {
                Client.Call call = Client.CALLS.get(arrival.id);
                if (arrival.status == 200
                        && arrival.at >= leaving.drainAcceptedAt
                        && call.status == 200
                        && call.host.equals(host.name)) {
                    told = Math.min(told, call.endedAt);
                }
            }
            for (Worker.Arrival arrival : leaving.arrivals) {
                Client.Call call = Client.CALLS.get(arrival.id);
                if (call.host.equals(host.name)
                        && told != Long.MAX_VALUE
                        && call.sentAt > told + DRAIN_MILLIS) {
                    late++;
                }
            }
            record.tell(
                    "%s passed on the first answer with Server-Leaving at %d",
                    host.name, told == Long.MAX_VALUE ? -1 : told);
        }
        record.tell(
                "%d requests sent more than %d ms after that reached the worker",
                late, DRAIN_MILLIS);
        return late > 0 ? 1 : 0;
    }
}
