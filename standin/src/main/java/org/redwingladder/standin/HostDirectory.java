package org.redwingladder.standin;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

/** The platform's host list. Each change becomes visible after a lag. */
public final class HostDirectory {
    private final long mLagMillis;
    private final Deque<Entry> mEntries = new ArrayDeque<>();

    private record Entry(long visibleAt, HostList list) {}

    /** The states of a host. */
    public enum State {
        LIVE,
        LEAVING;

        /** Returns the name used on the wire. */
        @JsonValue
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * A host in the list.
     *
     * @param host the host's name
     * @param zone the host's availability zone
     * @param address the host's address
     * @param state whether the host is live or leaving
     */
    public record Host(String host, String zone, String address, State state) {}

    /**
     * A version of the host list.
     *
     * @param version increases by one with each change
     * @param hosts the hosts
     */
    public record HostList(long version, List<Host> hosts) {
        public HostList {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * Creates an empty list.
     *
     * @param lagMillis the delay until a change becomes visible, in milliseconds
     */
    public HostDirectory(long lagMillis) {
        mLagMillis = lagMillis;
        mEntries.add(new Entry(Long.MIN_VALUE, new HostList(0, List.of())));
    }

    /** Replaces the list; the change becomes visible after the lag. */
    public synchronized void replace(List<Host> hosts, long nowMillis) {
        long version = mEntries.getLast().list().version() + 1;
        mEntries.add(new Entry(nowMillis + mLagMillis, new HostList(version, hosts)));
    }

    /** Returns the list that is visible at {@code nowMillis}. */
    public synchronized HostList visible(long nowMillis) {
        while (mEntries.size() > 1) {
            Entry first = mEntries.removeFirst();
            if (mEntries.getFirst().visibleAt() > nowMillis) {
                mEntries.addFirst(first);
                break;
            }
        }
        return mEntries.getFirst().list();
    }
}
