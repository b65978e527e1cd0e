package org.redwingladder.entry;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;
import org.redwingladder.steering.GossipMembership;
import org.redwingladder.steering.HostState;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Registers this host in the store's hosts table and reads the other hosts from it, both once at
 * the start; afterwards hosts learn of each other by gossip. A host registers again after the store
 * was restored from a copy, which may lack its row.
 */
final class HostRegistration {
    private static final long RETRY_MILLIS = 2_000;
    private static final long CALL_TIMEOUT_MILLIS = 2_000;

    /**
     * The rate at which all hosts together register again. They notice a restore at the same time,
     * and the store accepts 400 writes a second from all of them.
     */
    private static final int REPEATS_PER_SECOND = 100;

    private static final long MIN_REPEAT_SPAN_MILLIS = 1_000;

    private final String mHost;
    private final GossipMembership mMembers;
    private final XnioIoThread mThread;
    private final EventLog mLog;
    private @Nullable StoreClient mStore;
    private @Nullable Supplier<HostState> mSelf;
    private XnioExecutor.@Nullable Key mRepeat;
    private boolean mStopped;

    HostRegistration(String host, GossipMembership members, XnioIoThread thread, EventLog log) {
        mHost = host;
        mMembers = members;
        mThread = thread;
        mLog = log;
    }

    /**
     * Registers this host and reads the others; repeats calls that fail.
     *
     * @param self supplies this host's membership entry
     */
    void start(StoreClient store, Supplier<HostState> self) {
        mStore = store;
        mSelf = self;
        register(store, self);
        readHosts(store);
    }

    /**
     * Registers this host again, at a random moment that spreads the writes of all hosts.
     *
     * @param hosts the number of hosts that are alive
     */
    void storeRestored(int hosts) {
        StoreClient store = mStore;
        Supplier<HostState> self = mSelf;
        if (store == null || self == null) {
            return;
        }
        if (mRepeat != null) {
            mRepeat.remove();
        }
        mRepeat =
                mThread.executeAfter(
                        () -> register(store, self),
                        ThreadLocalRandom.current().nextLong(repeatSpanMillis(hosts)),
                        TimeUnit.MILLISECONDS);
    }

    /** Returns the time over which a number of hosts spread their writes. */
    static long repeatSpanMillis(int hosts) {
        return Math.max(MIN_REPEAT_SPAN_MILLIS, hosts * 1_000L / REPEATS_PER_SECOND);
    }

    /** Removes the registration because the process stops. */
    void unregister() {
        mStopped = true;
        StoreClient store = mStore;
        if (store != null) {
            store.writeHostRow(
                    mHost,
                    null,
                    callDeadline(),
                    new StoreCallback<>("unregister", version -> {}, () -> {}));
        }
    }

    private void register(StoreClient store, Supplier<HostState> self) {
        if (!mStopped) {
            store.writeHostRow(
                    mHost,
                    Json.write(self.get()),
                    callDeadline(),
                    new StoreCallback<>("register", version -> {}, () -> register(store, self)));
        }
    }

    private void readHosts(StoreClient store) {
        if (!mStopped) {
            store.readTable(
                    StoreTable.HOSTS,
                    callDeadline(),
                    new StoreCallback<>(
                            "read-hosts",
                            read -> addRegistered(read.rows()),
                            () -> readHosts(store)));
        }
    }

    private static long callDeadline() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MILLIS);
    }

    private void addRegistered(List<StoreRow> rows) {
        for (StoreRow row : rows) {
            byte[] value = row.value();
            if (value == null || row.key().equals(mHost)) {
                continue;
            }
            try {
                mMembers.addRegistered(Json.read(value, HostState.class));
            } catch (JsonException e) {
                mLog.event("state", "malformed-host")
                        .with("key", row.key())
                        .with("cause", e.getMessage())
                        .write();
            }
        }
        mMembers.recordRegistrationsRead();
    }

    /** Passes on the result of a store call; logs a failure and retries the call. */
    private final class StoreCallback<T> implements StoreClient.Callback<T> {
        private final String mOperation;
        private final Consumer<T> mOnSuccess;
        private final Runnable mRetry;

        StoreCallback(String operation, Consumer<T> onSuccess, Runnable retry) {
            mOperation = operation;
            mOnSuccess = onSuccess;
            mRetry = retry;
        }

        @Override
        public void succeeded(T result) {
            mOnSuccess.accept(result);
        }

        @Override
        public void failed(StoreException cause) {
            mLog.event("store", mOperation + "-failed")
                    .with("reason", cause.reason())
                    .with("cause", cause.getMessage())
                    .write();
            mThread.executeAfter(mRetry, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
