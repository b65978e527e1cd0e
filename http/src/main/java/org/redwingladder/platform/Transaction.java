package org.redwingladder.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Describes a transaction: all its checks hold and all its writes take effect, or nothing does.
 *
 * @param id names the transaction, so that it can be read back; unique
 * @param checks the versions that rows must have; 0 for a row that must be absent
 * @param puts the rows to write
 * @param deletes the keys of the rows to delete
 */
public record Transaction(String id, List<Check> checks, List<Put> puts, List<String> deletes) {

    /**
     * Demands a version of a row.
     *
     * @param key the row's key
     * @param version the version; 0 for an absent row
     */
    public record Check(String key, long version) {}

    /**
     * Writes a row.
     *
     * @param key the row's key
     * @param value the new value
     */
    public record Put(String key, JsonNode value) {}

    public Transaction {
        checks = List.copyOf(checks);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
    }

    /** Returns an empty transaction. */
    public static Transaction of(String id) {
        return new Transaction(id, List.of(), List.of(), List.of());
    }

    /** Returns this transaction with a check and a write of the same row. */
    public Transaction replace(String key, long version, JsonNode value) {
        return check(key, version).put(key, value);
    }

    /** Returns this transaction with one more check. */
    public Transaction check(String key, long version) {
        return new Transaction(id, with(checks, new Check(key, version)), puts, deletes);
    }

    /** Returns this transaction with one more write. */
    public Transaction put(String key, JsonNode value) {
        return new Transaction(id, checks, with(puts, new Put(key, value)), deletes);
    }

    /** Returns this transaction with one more deletion. */
    public Transaction delete(String key) {
        return new Transaction(id, checks, puts, with(deletes, key));
    }

    private static <T> List<T> with(List<T> list, T element) {
        List<T> copy = new ArrayList<>(list);
        copy.add(element);
        return copy;
    }
}
