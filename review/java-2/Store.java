import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A stand-in of the platform's store: rows of tables, transactions, reads and feeds. */
final class Store {
    /** How the store answers on a path to it. */
    enum Mode {
        SERVING,
        /** Answers 503, which means that nothing was done. */
        BUSY,
        /** Nothing passes in either direction, without a reset. */
        SILENT
    }

    /** A row; the value is null if the row was removed. */
    record Row(String table, String key, byte[] value, long version) {}

    /** What the store holds at a moment. */
    record Copy(Map<String, TreeMap<String, Row>> tables, List<Row> history, long version) {}

    private static final int MAX_PAGE_ROWS = 500;
    private static final int MAX_PAGE_BYTES = 1 << 20;
    private static final int ROW_OVERHEAD_BYTES = 100;

    private final Record mRecord;
    private Map<String, TreeMap<String, Row>> mTables = new HashMap<>();
    private List<Row> mHistory = new ArrayList<>();
    private long mVersion = 1;
    private long mEra = 1;
    private volatile Mode mMode = Mode.SERVING;
    private final long mStart = System.nanoTime();
    private final List<Path> mPaths = Collections.synchronizedList(new ArrayList<>());

    Store(Record record) {
        mRecord = record;
    }

    /** One machine's way to the store, which can be cut. */
    final class Path {
        final String name;
        final ServerSocket socket;
        final Set<Socket> open = Collections.synchronizedSet(new HashSet<>());
        volatile Mode mode = Mode.SERVING;
        volatile long lastFeedNanos;

        Path(String name) throws IOException {
            this.name = name;
            socket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            Thread.ofVirtual().start(this::accept);
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private void accept() {
            while (true) {
                try {
                    Socket client = socket.accept();
                    client.setTcpNoDelay(true);
                    open.add(client);
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
                    if (request == null) {
                        return;
                    }
                    if (silent()) {
                        hang();
                    }
                    Answer answer = answer(request);
                    if (silent()) {
                        hang();
                    }
                    Http.write(
                            client.getOutputStream(),
                            "HTTP/1.1 " + answer.status() + " X",
                            "Content-Type: application/json\r\nStore-Era: " + mEra + "\r\n",
                            answer.body().getBytes(StandardCharsets.UTF_8));
                }
            } catch (IOException | InterruptedException e) {
                // The machine closed its connection.
            } finally {
                open.remove(client);
            }
        }

        private boolean silent() {
            return mode == Mode.SILENT || mMode == Mode.SILENT;
        }

        private void hang() throws InterruptedException {
            Thread.sleep(600_000);
        }

        private Answer answer(Http.Message request) throws InterruptedException {
            // The answers of the store take some milliseconds.
            Thread.sleep(4);
            if (mode == Mode.BUSY || mMode == Mode.BUSY) {
                return new Answer(503, "{}");
            }
            String target = request.target();
            int mark = target.indexOf('?');
            Map<String, String> query = query(mark < 0 ? "" : target.substring(mark + 1));
            return switch (mark < 0 ? target : target.substring(0, mark)) {
                case "/-/rows-tx" -> transaction(request.text());
                case "/-/rows-get" -> read(query);
                case "/-/rows-feed" -> {
                    lastFeedNanos = System.nanoTime();
                    yield feed(query, this);
                }
                default -> new Answer(404, "{}");
            };
        }
    }

    record Answer(int status, String body) {}

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    /** Opens a path for a machine. */
    Path path(String name) throws IOException {
        Path path = new Path(name);
        mPaths.add(path);
        return path;
    }

    synchronized void mode(Mode mode) {
        mMode = mode;
        notifyAll();
    }

    synchronized boolean serving() {
        return mMode == Mode.SERVING;
    }

    synchronized long version() {
        return mVersion;
    }

    private String tail() {
        return tail(mVersion);
    }

    private String tail(long version) {
        return "\"ver\":"
                + version
                + ",\"now\":\""
                + (System.nanoTime() - mStart) / 1_000_000
                + "ms\"}";
    }

    private static String json(Row row) {
        String head =
                "{\"table\":"
                        + Json.quote(row.table())
                        + ",\"part\":\"\",\"key\":"
                        + Json.quote(row.key());
        String value =
                row.value() == null
                        ? ",\"deleted\":true"
                        : ",\"value\":\"" + Base64.getEncoder().encodeToString(row.value()) + "\"";
        return head + value + ",\"ver\":" + row.version() + "}";
    }

    private static String rows(List<Row> rows) {
        return "\"rows\":[" + String.join(",", rows.stream().map(Store::json).toList()) + "]";
    }

    /** Returns how many of the rows fit into one answer. */
    private static int pageSize(List<Row> rows) {
        int count = 0;
        int bytes = 0;
        while (count < rows.size() && count < MAX_PAGE_ROWS) {
            byte[] value = rows.get(count).value();
            bytes += ROW_OVERHEAD_BYTES + (value == null ? 0 : value.length * 4 / 3);
            if (count > 0 && bytes > MAX_PAGE_BYTES) {
                break;
            }
            count++;
        }
        return count;
    }

    private synchronized Answer read(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        List<Row> rows =
                new ArrayList<>(
                        mTables.getOrDefault(query.get("table"), new TreeMap<>())
                                .tailMap(from, true)
                                .values());
        int count = pageSize(rows);
        boolean more = count < rows.size();
        return new Answer(
                200,
                "{"
                        + rows(rows.subList(0, count))
                        + ",\"more_pages\":"
                        + more
                        + ","
                        + tail());
    }

    private synchronized Answer feed(Map<String, String> query, Path path)
            throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        long era = mEra;
        while (true) {
            if (mMode == Mode.BUSY || path.mode == Mode.BUSY || era != mEra) {
                return new Answer(503, "{}");
            }
            if (after > mVersion) {
                return new Answer(410, "{}");
            }
            List<Row> changes = new ArrayList<>();
            Map<String, Row> newest = new TreeMap<>();
            for (Row row : mHistory) {
                if (row.table().equals(query.get("table")) && row.version() > after) {
                    newest.put(row.key(), row);
                }
            }
            changes.addAll(newest.values());
            changes.sort((a, b) -> Long.compare(a.version(), b.version()));
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changes.isEmpty() || left <= 0) {
                int count = pageSize(changes);
                long version =
                        count < changes.size() ? changes.get(count - 1).version() : mVersion;
                return new Answer(200, "{" + rows(changes.subList(0, count)) + "," + tail(version));
            }
            wait(left);
        }
    }

    private Answer transaction(String body) {
        Map<String, Object> call = Json.object(Json.parse(body));
        synchronized (this) {
            mVersion++;
            for (Object entry : Json.list(call.get("set_keys"))) {
                Map<String, Object> row = Json.object(entry);
                set(
                        (String) row.get("table"),
                        (String) row.get("key"),
                        Base64.getDecoder().decode((String) row.get("value")));
            }
            for (Object entry : Json.list(call.get("remove"))) {
                Map<String, Object> row = Json.object(entry);
                set((String) row.get("table"), (String) row.get("key"), null);
            }
            notifyAll();
            return new Answer(200, "{" + tail());
        }
    }

    private void set(String table, String key, byte[] value) {
        Row row = new Row(table, key, value, mVersion);
        TreeMap<String, Row> rows = mTables.computeIfAbsent(table, t -> new TreeMap<>());
        if (value == null) {
            rows.remove(key);
        } else {
            rows.put(key, row);
        }
        mHistory.add(row);
    }

    /** Writes a row for the operator or a worker, or removes it; returns whether it was done. */
    synchronized boolean write(String table, String key, String value) {
        if (mMode != Mode.SERVING) {
            return false;
        }
        mVersion++;
        set(table, key, value == null ? null : value.getBytes(StandardCharsets.UTF_8));
        notifyAll();
        return true;
    }

    synchronized Copy copy() {
        Map<String, TreeMap<String, Row>> tables = new HashMap<>();
        mTables.forEach((name, rows) -> tables.put(name, new TreeMap<>(rows)));
        mRecord.tell("store: the copy holds versions up to %d", mVersion);
        return new Copy(tables, new ArrayList<>(mHistory), mVersion);
    }

    /** Comes back from a copy: versions go back and the era rises by one. */
    synchronized void restore(Copy copy) {
        mRecord.tell(
                "store: back from the copy; version %d becomes %d, era %d",
                mVersion,
                copy.version(),
                mEra + 1);
        mTables = copy.tables();
        mHistory = copy.history();
        mVersion = copy.version();
        mEra++;
        mMode = Mode.SERVING;
        notifyAll();
    }
}
