package org.redwingladder.standin;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Holds the rows of the platform's table and commits transactions.
 *
 * <p>Each put takes the next number of one counter as its row's version, so that a row that is
 * deleted and written again never shows an old version. Instances are safe for use by several
 * threads.
 */
public final class PlatformTable {
    /** Committed transactions whose result is kept by id; older ids are forgotten. */
    static final int MAX_RESULTS = 20_000;

    private final TreeMap<String, Row> mRows;
    private final Map<String, Committed> mResults = new LinkedHashMap<>();
    private long mLastVersion;

    /** Creates an empty table. */
    public PlatformTable() {
        this(new TreeMap<>(), 0);
    }

    private PlatformTable(TreeMap<String, Row> rows, long lastVersion) {
        mRows = rows;
        mLastVersion = lastVersion;
    }

    /**
     * Holds one row.
     *
     * @param key the row's key
     * @param version the number of the put that wrote the row; 0 if the row is absent
     * @param value the row's value; null if the row is absent
     */
    public record Row(String key, long version, @Nullable JsonNode value) {}

    /**
     * Requires a row to have a version.
     *
     * @param key the row's key
     * @param version the version that the row must have; 0 if the row must be absent
     */
    public record Check(String key, long version) {
        public Check {
            requireNonNull(key, "checks.key");
        }
    }

    /**
     * Writes a row.
     *
     * @param key the row's key
     * @param value the row's new value
     */
    public record Put(String key, JsonNode value) {
        public Put {
            requireNonNull(key, "puts.key");
            requireNonNull(value, "puts.value");
        }
    }

    /**
     * Describes checks and writes that take effect together or not at all.
     *
     * @param id the caller's name of the transaction; a committed id is never run again
     * @param checks what must hold
     * @param puts the rows to write
     * @param deletes the keys of the rows to remove
     */
    public record Transaction(
            String id,
            @Nullable List<Check> checks,
            @Nullable List<Put> puts,
            @Nullable List<String> deletes) {
        /** Replaces absent lists by empty ones. */
        public Transaction {
            requireNonNull(id, "id");
            checks = checks == null ? List.of() : List.copyOf(checks);
            puts = puts == null ? List.of() : List.copyOf(puts);
            deletes = deletes == null ? List.of() : List.copyOf(deletes);
        }
    }

    /** Tells what became of a transaction. */
    public sealed interface Result permits Committed, Conflict {}

    /**
     * Tells the versions that a committed transaction gave to its rows.
     *
     * @param versions the version of each row written, by key
     */
    public record Committed(Map<String, Long> versions) implements Result {}

    /**
     * Tells which rows did not have the version that was checked.
     *
     * @param failed the rows as they are
     */
    public record Conflict(List<Row> failed) implements Result {}

    /** Commits {@code transaction} if all its checks hold. */
    public synchronized Result commit(Transaction transaction) {
        Committed earlier = mResults.get(transaction.id());
        if (earlier != null) {
            return earlier;
        }
        List<Row> failed = new ArrayList<>();
        for (Check check : transaction.checks()) {
            Row row = rowOrAbsent(check.key());
            if (row.version() != check.version()) {
                failed.add(row);
            }
        }
        if (!failed.isEmpty()) {
            return new Conflict(failed);
        }
        Map<String, Long> versions = new LinkedHashMap<>();
        for (Put put : transaction.puts()) {
            long version = ++mLastVersion;
            mRows.put(put.key(), new Row(put.key(), version, put.value()));
            versions.put(put.key(), version);
        }
        transaction.deletes().forEach(mRows::remove);
        Committed result = new Committed(versions);
        cacheResult(transaction.id(), result);
        return result;
    }

    /** Returns the result of the committed transaction {@code id}, if it is still kept. */
    public synchronized Optional<Committed> result(String id) {
        return Optional.ofNullable(mResults.get(id));
    }

    /** Returns the row {@code key}, if there is one. */
    public synchronized Optional<Row> row(String key) {
        return Optional.ofNullable(mRows.get(key));
    }

    /**
     * Returns rows in the order of their versions.
     *
     * @param prefix what the keys start with
     * @param after only rows with a higher version are returned
     * @param limit the most rows to return
     */
    public synchronized List<Row> rows(String prefix, long after, int limit) {
        List<Row> found = new ArrayList<>();
        for (Row row : mRows.tailMap(prefix, true).values()) {
            if (!row.key().startsWith(prefix)) {
                break;
            }
            if (row.version() > after) {
                found.add(row);
            }
        }
        found.sort(Comparator.comparingLong(Row::version));
        return List.copyOf(found.subList(0, Math.min(limit, found.size())));
    }

    /** Returns a copy of the rows that no later transaction changes. */
    public synchronized PlatformTable snapshot() {
        return new PlatformTable(new TreeMap<>(mRows), mLastVersion);
    }

    private Row rowOrAbsent(String key) {
        Row row = mRows.get(key);
        return row == null ? new Row(key, 0, null) : row;
    }

    private void cacheResult(String id, Committed result) {
        mResults.put(id, result);
        if (mResults.size() > MAX_RESULTS) {
            var oldest = mResults.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
