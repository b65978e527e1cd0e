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

/**
 * Settings rows in the platform's table: the head, a subtree per team, the change log, change ids
 * and zone acknowledgements. The futures fail if the platform is unavailable or a row is malformed.
 */
final class SettingsStore {
    static final String HEAD_KEY = "settings/head";
    private static final String TREE_PREFIX = "settings/tree/";
    private static final String CHANGE_PREFIX = "settings/change/";
    private static final String CHANGE_ID_PREFIX = "settings/id/";
    private static final String ACK_PREFIX = "acks/";
    private static final int MAX_ROWS = 1000;

    /** Beyond this a snapshot is cheaper: it takes three reads instead of one per change. */
    private static final int MAX_CHANGE_READS = 32;

    private static final int SNAPSHOT_ATTEMPTS = 5;
    private static final long READ_TIMEOUT_MILLIS = 2000;
    private static final long COMMIT_TIMEOUT_MILLIS = 5000;

    private final PlatformClient mPlatform;

    SettingsStore(PlatformClient platform) {
        mPlatform = platform;
    }

    /**
     * Head row: the newest accepted version.
     *
     * @param rowVersion the version of the row; 0 if there are no settings
     * @param version the settings version
     */
    record Head(long rowVersion, long version) {}

    /** Reads the head row. */
    CompletableFuture<Head> head() {
        return mPlatform
                .row(HEAD_KEY, deadline(READ_TIMEOUT_MILLIS))
                .thenApply(
                        row ->
                                row.map(r -> new Head(r.version(), integerField(r, "version")))
                                        .orElse(new Head(0, 0)));
    }

    /** Reads the whole document; fails if no attempt read rows of a single version. */
    CompletableFuture<SettingsTree> snapshot() {
        return snapshot(SNAPSHOT_ATTEMPTS);
    }

    private CompletableFuture<SettingsTree> snapshot(int attempts) {
        return head().thenCompose(
                        head ->
                                mPlatform
                                        .rows(
                                                TREE_PREFIX,
                                                0,
                                                MAX_ROWS,
                                                deadline(READ_TIMEOUT_MILLIS))
                                        .thenCompose(rows -> toTree(head, rows, attempts)));
    }

    private CompletableFuture<SettingsTree> toTree(Head head, List<Row> rows, int attempts) {
        Map<String, JsonNode> subtrees = new TreeMap<>();
        Map<String, Long> versions = new TreeMap<>();
        long newest = 0;
        for (Row row : rows) {
            String team = row.key().substring(TREE_PREFIX.length());
            long version = integerField(row, "version");
            versions.put(team, version);
            newest = Math.max(newest, version);
            JsonNode value = value(row).path("value");
            if (!value.isNull() && !value.isMissingNode()) {
                subtrees.put(team, value);
            }
        }
        // Each change writes the head and one subtree, so their newest versions are equal.
        if (newest == head.version()) {
            return CompletableFuture.completedFuture(SettingsTree.of(newest, subtrees, versions));
        }
        return attempts > 1
                ? snapshot(attempts - 1)
                : CompletableFuture.failedFuture(
                        new IOException("head and subtree rows have different versions"));
    }

    /**
     * Settings that were read from the platform.
     *
     * @param changes the changes, in order
     * @param snapshot the whole document instead, if there were too many changes
     */
    record Fetched(List<SettingsChange> changes, @Nullable SettingsTree snapshot) {
        /** The known version is the newest one. */
        static final Fetched NOTHING = new Fetched(List.of(), null);
    }

    /** Reads the changes from one version to another, or a snapshot if these are too many. */
    CompletableFuture<Fetched> fetch(long known, long to) {
        return known == 0 || to - known > MAX_CHANGE_READS
                ? snapshot().thenApply(tree -> new Fetched(List.of(), tree))
                : changes(known, to).thenApply(changes -> new Fetched(changes, null));
    }

    /** Reads the changes after one version up to and including another; fails if one is missing. */
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
                                                        () -> malformed("change record missing")));
                            }
                            return changes;
                        });
    }

    /** Reads the change that created a version. */
    CompletableFuture<Optional<SettingsChange>> change(long version) {
        return mPlatform
                .row(CHANGE_PREFIX + version, deadline(READ_TIMEOUT_MILLIS))
                .thenApply(row -> row.map(SettingsStore::parseChange));
    }

    /**
     * Row of a change id.
     *
     * @param rowVersion the version of the row; 0 if it is absent
     * @param version the settings version that the change created; 0 if the id was revoked
     */
    record ChangeIdRow(long rowVersion, long version) {}

    /** Reads the row of a change id. */
    CompletableFuture<ChangeIdRow> changeId(String changeId) {
        return mPlatform
                .row(CHANGE_ID_PREFIX + changeId, deadline(READ_TIMEOUT_MILLIS))
                .thenApply(
                        row ->
                                row.map(
                                                r ->
                                                        new ChangeIdRow(
                                                                r.version(),
                                                                integerField(r, "version")))
                                        .orElse(new ChangeIdRow(0, 0)));
    }

    /**
     * Revokes a change id unless its change was accepted, by writing a row that makes a delayed put
     * of the change fail.
     */
    CompletableFuture<TransactionResult> revokeChangeId(String changeId) {
        ObjectNode value = Json.mapper().createObjectNode();
        value.put("version", 0);
        return commit(
                Transaction.of("refuse-" + changeId)
                        .replace(CHANGE_ID_PREFIX + changeId, 0, value));
    }

    /** Reads the version of the row of a team's subtree; 0 if it is absent. */
    CompletableFuture<Long> subtreeRowVersion(String team) {
        return mPlatform
                .row(TREE_PREFIX + team, deadline(READ_TIMEOUT_MILLIS))
                .thenApply(row -> row.map(Row::version).orElse(0L));
    }

    /**
     * Commits a change if the rows of the head and of the team's subtree are unchanged since they
     * were read.
     *
     * @param transactionId the unique id of this attempt
     * @param head the head before the change
     * @param subtreeRowVersion the version of the row of the team's subtree
     * @param tree the document after the change
     */
    CompletableFuture<TransactionResult> commit(
            String transactionId,
            Head head,
            long subtreeRowVersion,
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
                        .replace(HEAD_KEY, head.rowVersion(), newHead)
                        .replace(TREE_PREFIX + change.team(), subtreeRowVersion, subtree)
                        .replace(CHANGE_PREFIX + change.version(), 0, record)
                        .replace(CHANGE_ID_PREFIX + change.changeId(), 0, id));
    }

    /** Reads the acknowledged version of each zone. */
    CompletableFuture<Map<String, Long>> acks() {
        return mPlatform
                .rows(ACK_PREFIX, 0, MAX_ROWS, deadline(READ_TIMEOUT_MILLIS))
                .thenApply(
                        rows -> {
                            Map<String, Long> acks = new TreeMap<>();
                            rows.forEach(
                                    row ->
                                            acks.put(
                                                    row.key().substring(ACK_PREFIX.length()),
                                                    integerField(row, "version")));
                            return acks;
                        });
    }

    /** Reads a row; empty if it is absent. */
    CompletableFuture<Optional<Row>> row(String key) {
        return mPlatform.row(key, deadline(READ_TIMEOUT_MILLIS));
    }

    CompletableFuture<TransactionResult> commit(Transaction transaction) {
        return mPlatform.commit(transaction, deadline(COMMIT_TIMEOUT_MILLIS));
    }

    static String ackKey(String zone) {
        return ACK_PREFIX + zone;
    }

    static String changeIdKey(String changeId) {
        return CHANGE_ID_PREFIX + changeId;
    }

    static ObjectNode ackValue(String zone, long version) {
        return Json.mapper().createObjectNode().put("zone", zone).put("version", version);
    }

    static long integerField(Row row, String field) {
        JsonNode number = value(row).path(field);
        if (!number.isIntegralNumber()) {
            throw malformed("row " + row.key() + " has no integer field " + field);
        }
        return number.longValue();
    }

    private static JsonNode value(Row row) {
        JsonNode value = row.value();
        if (value == null) {
            throw malformed("row " + row.key() + " has no value");
        }
        return value;
    }

    private static SettingsChange parseChange(Row row) {
        try {
            return Json.mapper().treeToValue(value(row), SettingsChange.class);
        } catch (JsonProcessingException e) {
            throw malformed("row " + row.key() + ": " + e.getOriginalMessage());
        }
    }

    private static CompletionException malformed(String message) {
        return new CompletionException(new IOException(message));
    }

    private static long deadline(long millis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
