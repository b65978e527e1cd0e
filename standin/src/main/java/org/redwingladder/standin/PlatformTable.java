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
 * An in-memory table with optimistic concurrency control: transactions commit only if the versions
 * of the checked rows match.
 *
 * <p>Versions come from a single counter, so a row that is deleted and rewritten never reuses a
 * version. Instances are thread-safe.
 */
public final class PlatformTable {
    /**
     * The maximum number of committed transactions whose results are kept for deduplication; the
     * oldest is evicted.
     */
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
     * A row of the table.
     *
     * @param key the row's key
     * @param version the version that the last put assigned to the row; 0 if the row is absent
     * @param value the row's value; null if the row is absent
     */
    public record Row(String key, long version, @Nullable JsonNode value) {}

    /**
     * A precondition on the version of a row.
     *
     * @param key the row's key
     * @param version the expected version; 0 if the row must be absent
     */
    public record Check(String key, long version) {
        public Check {
            requireNonNull(key, "checks.key");
        }
    }

    /**
     * A write of a row.
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
     * Preconditions and writes that are applied atomically.
     *
     * @param id the client's id of the transaction; a committed transaction is never applied again
     * @param checks the preconditions
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

    /** The outcome of a transaction. */
    public sealed interface Result permits Committed, Conflict {}

    /**
     * The transaction was committed.
     *
     * @param versions the version of each row written, by key
     */
    public record Committed(Map<String, Long> versions) implements Result {}

    /**
     * The transaction was rejected because rows did not have the expected version.
     *
     * @param failed the current state of these rows
     */
    public record Conflict(List<Row> failed) implements Result {}

    /**
     * Commits {@code transaction} if all its checks hold. Returns the earlier result if a
     * transaction with this id has already been committed.
     */
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

    /** Returns the result of the committed transaction {@code id}, if it has not been evicted. */
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
     * @param prefix the prefix of the keys
     * @param after the exclusive lower bound of the versions
     * @param limit the maximum number of rows to return
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

    /** Returns an independent copy of the table's rows. */
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
