package org.redwingladder.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Json;
import org.redwingladder.platform.PlatformClient;
import org.redwingladder.platform.Row;
import org.redwingladder.platform.Transaction;
import org.redwingladder.platform.TransactionResult;
import org.redwingladder.settings.SettingsChange;
import org.redwingladder.settings.SettingsTree;

/** Reads and writes the rows of the platform's table that hold the settings. */
final class SettingsStore {
    static final String HEAD = "settings/head";
    private static final String TREE = "settings/tree/";
    private static final String CHANGE = "settings/change/";
    private static final String ID = "settings/id/";
    private static final String ACKS = "acks/";
    private static final int MAX_ROWS = 1000;

    /** A longer gap is closed by a snapshot, which takes three reads instead of one a change. */
    private static final int MAX_CHANGE_READS = 32;

    private static final int SNAPSHOT_ATTEMPTS = 5;
    private static final long READ_MILLIS = 2000;
    private static final long COMMIT_MILLIS = 5000;

    private final PlatformClient mPlatform;

    SettingsStore(PlatformClient platform) {
        mPlatform = platform;
    }

    /**
     * Holds the newest accepted version.
     *
     * @param row the version of the row; 0 if there are no settings
     * @param version the settings version
     */
    record Head(long row, long version) {}

    /** Reads the newest accepted version. */
    CompletableFuture<Head> head() {
        return mPlatform
                .row(HEAD, deadline(READ_MILLIS))
                .thenApply(
                        row ->
                                row.map(r -> new Head(r.version(), number(r, "version")))
                                        .orElse(new Head(0, 0)));
    }

    /** Reads the whole document; fails if it kept changing or the rows do not fit together. */
    CompletableFuture<SettingsTree> snapshot() {
        return snapshot(SNAPSHOT_ATTEMPTS);
    }

    private CompletableFuture<SettingsTree> snapshot(int attempts) {
        return head().thenCompose(
                        head ->
                                mPlatform
                                        .rows(TREE, 0, MAX_ROWS, deadline(READ_MILLIS))
                                        .thenCompose(rows -> fit(head, rows, attempts)));
    }

    private CompletableFuture<SettingsTree> fit(Head head, List<Row> rows, int attempts) {
        Map<String, JsonNode> subtrees = new TreeMap<>();
        Map<String, Long> versions = new TreeMap<>();
        long newest = 0;
        for (Row row : rows) {
            String team = row.key().substring(TREE.length());
            long version = number(row, "version");
            versions.put(team, version);
            newest = Math.max(newest, version);
            JsonNode value = value(row).path("value");
            if (!value.isNull() && !value.isMissingNode()) {
                subtrees.put(team, value);
            }
        }
        // Each change writes the head and one subtree, so both show the same newest version.
        if (newest == head.version()) {
            return CompletableFuture.completedFuture(SettingsTree.of(newest, subtrees, versions));
        }
        return attempts > 1
                ? snapshot(attempts - 1)
                : CompletableFuture.failedFuture(
                        new IOException("head and subtrees show different versions"));
    }

    /**
     * Holds what was read.
     *
     * @param changes changes in order
     * @param snapshot the whole document, if there were too many changes
     */
    record Fetched(List<SettingsChange> changes, @Nullable SettingsTree snapshot) {
        /** Stands for no news. */
        static final Fetched NOTHING = new Fetched(List.of(), null);
    }

    /** Reads what leads from one version to another. */
    CompletableFuture<Fetched> fetch(long known, long to) {
        return known == 0 || to - known > MAX_CHANGE_READS
                ? snapshot().thenApply(tree -> new Fetched(List.of(), tree))
                : changes(known, to).thenApply(changes -> new Fetched(changes, null));
    }

    /** Reads the changes after one version up to another; fails if one is missing. */
    CompletableFuture<List<SettingsChange>> changes(long after, long to) {
        List<CompletableFuture<Optional<SettingsChange>>> reads = new ArrayList<>();
        for (long version = after + 1; version <= to; version++) {
            reads.add(change(version));
        }
        return CompletableFuture.allOf(reads.toArray(new CompletableFuture<?>[0]))
                .thenApply(
                        all -> {
                            List<SettingsChange> changes = new ArrayList<>();
                            for (CompletableFuture<Optional<SettingsChange>> read : reads) {
                                changes.add(
                                        read.join()
                                                .orElseThrow(
                                                        () -> bad("a change record is missing")));
                            }
                            return changes;
                        });
    }

    /** Reads the change that made a version. */
    CompletableFuture<Optional<SettingsChange>> change(long version) {
        return mPlatform
                .row(CHANGE + version, deadline(READ_MILLIS))
                .thenApply(row -> row.map(SettingsStore::changeOf));
    }

    /**
     * Holds what became of a change id.
     *
     * @param row the version of the row; 0 if it is absent
     * @param version the version that the change made; 0 if it was refused for good
     */
    record IdRow(long row, long version) {}

    /** Reads what became of a change id. */
    CompletableFuture<IdRow> id(String changeId) {
        return mPlatform
                .row(ID + changeId, deadline(READ_MILLIS))
                .thenApply(
                        row ->
                                row.map(r -> new IdRow(r.version(), number(r, "version")))
                                        .orElse(new IdRow(0, 0)));
    }

    /**
     * Makes sure that a change id can no longer be accepted, unless it already was. Afterwards the
     * row exists, and a delayed put of the change fails on it.
     */
    CompletableFuture<TransactionResult> refuse(String changeId) {
        ObjectNode value = Json.mapper().createObjectNode();
        value.put("version", 0);
        return commit(Transaction.of("refuse-" + changeId).replace(ID + changeId, 0, value));
    }

    /** Reads the version of the row that holds a team's subtree; 0 if it is absent. */
    CompletableFuture<Long> subtreeRow(String team) {
        return mPlatform
                .row(TREE + team, deadline(READ_MILLIS))
                .thenApply(row -> row.map(Row::version).orElse(0L));
    }

    /**
     * Commits a change if the head and the team's subtree are still as they were read.
     *
     * @param transactionId names this attempt
     * @param head the head that the change follows
     * @param subtreeRow the version of the row of the team's subtree
     * @param tree the tree that the change makes
     */
    CompletableFuture<TransactionResult> commit(
            String transactionId,
            Head head,
            long subtreeRow,
            SettingsChange change,
            SettingsTree tree) {
        ObjectNode newHead = Json.mapper().createObjectNode();
        newHead.put("version", change.version()).put("changeId", change.changeId());
        ObjectNode subtree = Json.mapper().createObjectNode();
        subtree.put("version", change.version());
        subtree.set("value", tree.subtree(change.team()));
        ObjectNode id = Json.mapper().createObjectNode();
        id.put("version", change.version());
        JsonNode record = Json.mapper().valueToTree(change);
        return commit(
                Transaction.of(transactionId)
                        .replace(HEAD, head.row(), newHead)
                        .replace(TREE + change.team(), subtreeRow, subtree)
                        .replace(CHANGE + change.version(), 0, record)
                        .replace(ID + change.changeId(), 0, id));
    }

    /** Reads the lowest version that each zone serves by. */
    CompletableFuture<Map<String, Long>> acks() {
        return mPlatform
                .rows(ACKS, 0, MAX_ROWS, deadline(READ_MILLIS))
                .thenApply(
                        rows -> {
                            Map<String, Long> acks = new TreeMap<>();
                            rows.forEach(
                                    row ->
                                            acks.put(
                                                    row.key().substring(ACKS.length()),
                                                    number(row, "version")));
                            return acks;
                        });
    }

    /** Reads a row as it is. */
    CompletableFuture<Optional<Row>> row(String key) {
        return mPlatform.row(key, deadline(READ_MILLIS));
    }

    /** Runs a transaction. */
    CompletableFuture<TransactionResult> commit(Transaction transaction) {
        return mPlatform.commit(transaction, deadline(COMMIT_MILLIS));
    }

    static String ackKey(String zone) {
        return ACKS + zone;
    }

    static String idKey(String changeId) {
        return ID + changeId;
    }

    static ObjectNode ackValue(String zone, long version) {
        return Json.mapper().createObjectNode().put("zone", zone).put("version", version);
    }

    static long number(Row row, String field) {
        JsonNode number = value(row).path(field);
        if (!number.isIntegralNumber()) {
            throw bad("row " + row.key() + " has no number " + field);
        }
        return number.longValue();
    }

    private static JsonNode value(Row row) {
        JsonNode value = row.value();
        if (value == null) {
            throw bad("row " + row.key() + " has no value");
        }
        return value;
    }

    private static SettingsChange changeOf(Row row) {
        try {
            return Json.mapper().treeToValue(value(row), SettingsChange.class);
        } catch (JsonProcessingException e) {
            throw bad("row " + row.key() + ": " + e.getOriginalMessage());
        }
    }

    private static CompletionException bad(String message) {
        return new CompletionException(new IOException(message));
    }

    private static long deadline(long millis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
