package org.redwingladder.standin;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

/** Holds the platform's list of hosts, which shows each change only after a lag. */
public final class HostDirectory {
    private final long mLagMillis;
    private final Deque<Entry> mEntries = new ArrayDeque<>();

    private record Entry(long visibleAt, HostList list) {}

    /** Names the states that the platform knows. */
    public enum State {
        LIVE,
        LEAVING;

        /** Returns the name used in messages. */
        @JsonValue
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Describes one host.
     *
     * @param host the host's name
     * @param zone the host's availability zone
     * @param address the host's address
     * @param state whether the host is to stay
     */
    public record Host(String host, String zone, String address, State state) {}

    /**
     * Holds one version of the list.
     *
     * @param version rises by one with each change
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
     * @param lagMillis how long a change stays invisible, in milliseconds
     */
    public HostDirectory(long lagMillis) {
        mLagMillis = lagMillis;
        mEntries.add(new Entry(Long.MIN_VALUE, new HostList(0, List.of())));
    }

    /** Replaces the list; the change shows after the lag. */
    public synchronized void replace(List<Host> hosts, long nowMillis) {
        long version = mEntries.getLast().list().version() + 1;
        mEntries.add(new Entry(nowMillis + mLagMillis, new HostList(version, hosts)));
    }

    /** Returns the list that readers see at {@code nowMillis}. */
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
