package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's store: rows-get, rows-feed and rows-tx. */
final class StoreStandin implements AutoCloseable {
    /** The rows of one answer of rows-get, as the pages state it. */
    private static final int PAGE_ROWS = 500;

    /** The time that the pages' deployments state for an answer. */
    private static final long ANSWER_MILLIS = 4;

    private static final Pattern WRITE =
            Pattern.compile("\"(table|part|key|value)\"\\s*:\\s*\"([^\"]*)\"");

    private record Row(String table, String key, String value, long version) {}

    private final ServerSocket mServer;
    private final TreeMap<String, Row> mRows = new TreeMap<>();
    private final List<Row> mHistory = new ArrayList<>();
    private final Record mRecord;
    private long mVersion = 1;
    private volatile boolean mDown;

    StoreStandin(Record record) throws IOException {
        mRecord = record;
        mServer = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    /** Answers all calls with 503 while the store is down. */
    void down(boolean down) {
        mRecord.line("the store is %s", down ? "down (503)" : "up");
        mDown = down;
    }

    /** Writes a row, or deletes it if the value is null; returns when the write has an effect. */
    synchronized long put(String table, String key, String value) {
        mVersion++;
        String encoded =
                value == null
                        ? null
                        : Base64.getEncoder()
                                .encodeToString(value.getBytes(StandardCharsets.UTF_8));
        change(table, key, encoded);
        return mVersion;
    }

    private void change(String table, String key, String encoded) {
        Row row = new Row(table, key, encoded, mVersion);
        if (encoded == null) {
            mRows.remove(table + ' ' + key);
        } else {
            mRows.put(table + ' ' + key, row);
        }
        mHistory.add(row);
        notifyAll();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The stand-in was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = Http.readBody(in, head);
                Thread.sleep(ANSWER_MILLIS);
                if (mDown) {
                    send(out, 503, "{}");
                    continue;
                }
                String path = head.target().split("\\?")[0];
                Map<String, String> query = query(head.target());
                switch (path) {
                    case "/-/rows-get" -> get(out, query);
                    case "/-/rows-feed" -> feed(out, query);
                    case "/-/rows-tx" -> write(out, new String(body, StandardCharsets.UTF_8));
                    default -> send(out, 404, "{}");
                }
            }
        } catch (IOException | InterruptedException e) {
            // The host closed the connection.
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(
                        parts[0],
                        parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private void get(OutputStream out, Map<String, String> query) throws IOException {
        String table = query.get("table");
        String from = query.getOrDefault("from", "");
        List<Row> page = new ArrayList<>();
        boolean more = false;
        String text;
        synchronized (this) {
            for (Row row : mRows.tailMap(table + ' ' + from).values()) {
                if (!row.table().equals(table)) {
                    break;
                }
                if (page.size() == PAGE_ROWS) {
                    more = true;
                    break;
                }
                page.add(row);
            }
            text = answer(page, mVersion, more);
        }
        send(out, 200, text);
        mRecord.line(
                "store: rows-get %s from '%s': %d rows, more_pages %s",
                table, from.replace('\0', '0'), page.size(), more);
    }

    private void feed(OutputStream out, Map<String, String> query)
            throws IOException, InterruptedException {
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long until =
                System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000L;
        String text;
        synchronized (this) {
            List<Row> changes = changes(table, after);
            while (changes.isEmpty() && System.nanoTime() - until < 0 && !mDown) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000L));
                changes = changes(table, after);
            }
            text = answer(changes, mVersion, false);
        }
        if (mDown) {
            send(out, 503, "{}");
        } else {
            send(out, 200, text);
        }
    }

    private List<Row> changes(String table, long after) {
        List<Row> changes = new ArrayList<>();
        for (Row row : mHistory) {
            if (row.version() > after && row.table().equals(table)) {
                changes.add(row);
            }
        }
        return changes;
    }

    /** Applies the one write or deletion that a host sends. */
    private void write(OutputStream out, String body) throws IOException {
        int remove = body.indexOf("\"remove\"");
        int set = body.indexOf("\"set_keys\"");
        Matcher matcher = WRITE.matcher(body);
        Map<String, String> fields = new HashMap<>();
        boolean deletion = false;
        while (matcher.find()) {
            fields.put(matcher.group(1), matcher.group(2));
            deletion = remove > set ? matcher.start() > remove : matcher.start() < set;
        }
        long version;
        synchronized (this) {
            version = ++mVersion;
            change(fields.get("table"), fields.get("key"), deletion ? null : fields.get("value"));
        }
        send(out, 200, "{\"ver\":" + version + ",\"now\":\"1ms\"}");
    }

    private static String answer(List<Row> rows, long version, boolean more) {
        StringBuilder text = new StringBuilder("{\"rows\":[");
        for (Row row : rows) {
            text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                    .append("{\"table\":\"" + row.table() + "\",\"part\":\"\",\"key\":\"")
                    .append(row.key())
                    .append("\",\"ver\":" + row.version());
            text.append(
                    row.value() == null
                            ? ",\"deleted\":true}"
                            : ",\"value\":\"" + row.value() + "\"}");
        }
        return text.append("],\"more_pages\":" + more + ",\"ver\":" + version)
                .append(",\"now\":\"" + System.nanoTime() / 1_000_000 + "ms\"}")
                .toString();
    }

    private static void send(OutputStream out, int status, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        String head =
                "HTTP/1.1 "
                        + status
                        + " x\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length
                        + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.UTF_8));
        out.write(body);
        out.flush();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
