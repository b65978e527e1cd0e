package org.redwingladder.entry;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.redwingladder.steering.RegistrationGracePeriod;
import org.redwingladder.steering.RestoredStateGuard;
import org.redwingladder.steering.ServerRegistration;
import org.xnio.XnioIoThread;

/**
 * The backend servers that this host uses: those of the servers table, without those whose rows
 * came back although they had left, and with those whose registrations lapsed in an outage or a
 * restore of the store, as long as {@link RegistrationGracePeriod} keeps them.
 */
final class UsableServers {
    private final XnioIoThread mThread;
    private final EventLog mLog;
    private final StoreFreshness mFreshness;
    private final Listener mListener;
    private final RestoredStateGuard mGuard;
    private final RegistrationGracePeriod mHold = RegistrationGracePeriod.create();
    private Map<String, ServerRegistration> mUsed = Map.of();
    private Set<String> mSuspended = Set.of();
    private StoreVersion mPosition = StoreVersion.NONE;
    private boolean mReleaseScheduled;

    /** Receives the servers by id after each update. */
    interface Listener {
        void serversChanged(Map<String, ServerRegistration> servers);
    }

    /** The origin of a change, which is logged. */
    enum Source {
        STORE,
        PUSH,
        COPY,
        HOLD_END
    }

    UsableServers(
            RestoredStateGuard guard,
            StoreFreshness freshness,
            XnioIoThread thread,
            EventLog log,
            Listener listener) {
        mGuard = guard;
        mThread = thread;
        mLog = log;
        mFreshness = freshness;
        freshness.onServersProvenByHost(mHold::recordServiceToOthers);
        mListener = listener;
    }

    /** Returns what decides how long lapsed registrations are kept. */
    RegistrationGracePeriod hold() {
        return mHold;
    }

    /** Returns the remaining time for which lapsed registrations are kept. */
    long holdMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mHold.remainingNanos(System.nanoTime()));
    }

    /** Keeps lapsed registrations as long as a peer does. */
    void extendHold(long millis) {
        mHold.extendFromPeer(TimeUnit.MILLISECONDS.toNanos(millis), System.nanoTime());
    }

    /** Handles a push of a peer, which tells for how long the peer keeps lapsed registrations. */
    void recordPush(StoreTable table, long holdMillis) {
        extendHold(holdMillis);
        if (table == StoreTable.SERVERS) {
            mHold.recordServiceToOthers(System.nanoTime());
        }
    }

    /** Handles the registrations of the servers table and its rows' versions, both by server id. */
    void update(
            Map<String, ServerRegistration> decoded,
            Map<String, Long> versions,
            StoreVersion position,
            Source source) {
        long now = System.nanoTime();
        mPosition = position;
        Map<String, ServerRegistration> registered = mGuard.servers(decoded, versions, now);
        logSuspended();
        use(mHold.update(registered, now), source);
        if (mHold.hasRetained()) {
            mLog.event("state", "lapsed-servers-held")
                    .with("servers", String.join(" ", mHold.retainedIds()))
                    .with("millis", holdMillis())
                    .write();
            scheduleRelease();
        }
    }

    private void logSuspended() {
        Set<String> suspended = mGuard.suspended();
        if (!suspended.equals(mSuspended)) {
            mSuspended = suspended;
            mLog.event("state", "returned-servers-unused")
                    .with("servers", String.join(" ", suspended))
                    .write();
        }
    }

    private void scheduleRelease() {
        if (!mReleaseScheduled) {
            mReleaseScheduled = true;
            mThread.executeAfter(
                    this::releaseHeld,
                    mHold.nanosUntilRelease(System.nanoTime()) + 1,
                    TimeUnit.NANOSECONDS);
        }
    }

    private void releaseHeld() {
        mReleaseScheduled = false;
        if (mHold.hasRetained()) {
            use(mHold.effectiveRegistrations(System.nanoTime()), Source.HOLD_END);
        }
        if (mHold.hasRetained()) {
            scheduleRelease();
        }
    }

    private void use(Map<String, ServerRegistration> servers, Source source) {
        StringBuilder departed = new StringBuilder();
        mUsed.forEach(
                (id, before) -> {
                    ServerRegistration now = servers.get(id);
                    if (now == null) {
                        departed.append(departed.isEmpty() ? "" : " ").append(id).append(":GONE");
                    } else if (now.draining() && !before.draining()) {
                        departed.append(departed.isEmpty() ? "" : " ")
                                .append(id)
                                .append(":DRAINING");
                    }
                });
        mUsed = Map.copyOf(servers);
        if (!departed.isEmpty()) {
            mLog.event("state", "servers-left")
                    .with("servers", departed)
                    .with("position", mPosition.number())
                    .with("source", source)
                    .with("proofAge", mFreshness.loggedAge(StoreTable.SERVERS))
                    .write();
        }
        mListener.serversChanged(servers);
    }
}
