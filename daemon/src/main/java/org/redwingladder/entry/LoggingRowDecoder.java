package org.redwingladder.entry;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.redwingladder.steering.ServerRegistration;

/**
 * Decodes the rows of replicated tables. A row that cannot be decoded is logged once and ignored.
 */
final class LoggingRowDecoder {
    private final RowDecoder mDecoder;
    private final EventLog mLog;
    private final Map<String, DecodedServer> mServers = new HashMap<>();
    private final Map<String, Long> mLoggedVersions = new HashMap<>();

    private record DecodedServer(StoreRow row, @Nullable ServerRegistration entry) {
        /** Returns whether the row is the one that was decoded; eras give out versions again. */
        boolean isOf(StoreRow other) {
            return row.version() == other.version() && Arrays.equals(row.value(), other.value());
        }
    }

    LoggingRowDecoder(RowDecoder decoder, EventLog log) {
        mDecoder = decoder;
        mLog = log;
    }

    /** Decodes a row of the control table. */
    RowDecoder.ControlRow controlRow(StoreRow row) {
        byte[] value = row.value();
        if (value == null) {
            return new RowDecoder.ControlRow.Other();
        }
        try {
            return mDecoder.decodeControlRow(row.key(), value);
        } catch (RowDecoder.MalformedRowException | RuntimeException | StackOverflowError e) {
            logMalformed(row, e);
            return new RowDecoder.ControlRow.Other();
        }
    }

    /** Decodes all rows of the servers table; returns the registrations by server id. */
    Map<String, ServerRegistration> servers(List<StoreRow> rows, long now) {
        Map<String, ServerRegistration> registered = new HashMap<>();
        Set<String> keys = new HashSet<>();
        for (StoreRow row : rows) {
            keys.add(row.key());
            DecodedServer decoded = mServers.get(row.key());
            if (decoded == null || !decoded.isOf(row)) {
                decoded = new DecodedServer(row, server(row, now));
                mServers.put(row.key(), decoded);
            }
            ServerRegistration entry = decoded.entry();
            if (entry != null) {
                registered.put(entry.id(), entry);
            }
        }
        mServers.keySet().retainAll(keys);
        return registered;
    }

    private @Nullable ServerRegistration server(StoreRow row, long now) {
        byte[] value = row.value();
        if (value == null) {
            return null;
        }
        try {
            return mDecoder.decodeServer(row.key(), value, now);
        } catch (RowDecoder.MalformedRowException | RuntimeException | StackOverflowError e) {
            logMalformed(row, e);
            return null;
        }
    }

    private void logMalformed(StoreRow row, Throwable cause) {
        Long logged = mLoggedVersions.put(row.key(), row.version());
        if (logged == null || logged != row.version()) {
            mLog.event("state", "malformed-row")
                    .with("key", row.key())
                    .with("version", row.version())
                    .with(
                            "cause",
                            cause instanceof RowDecoder.MalformedRowException
                                    ? cause.getMessage()
                                    : cause)
                    .write();
        }
    }
}
