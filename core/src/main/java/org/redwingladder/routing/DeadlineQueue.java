package org.redwingladder.routing;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.redwingladder.limits.Admission;

/** Earliest-deadline-first queue of the requests of each work class. Not thread-safe. */
public final class DeadlineQueue {
    private static final Comparator<Entry> BY_DEADLINE =
            Comparator.comparingLong((Entry entry) -> entry.request().deadlineNanos())
                    .thenComparingLong(Entry::sequence);

    /** How many requests are tried when caps hold back the first ones. */
    private static final int MAX_SCANNED = 16;

    private final Map<WorkClass, TreeSet<Entry>> mWaiting = new EnumMap<>(WorkClass.class);
    private final Map<Long, Entry> mById = new HashMap<>();
    private long mSequence;

    private DeadlineQueue() {
        for (WorkClass workClass : WorkClass.values()) {
            mWaiting.put(workClass, new TreeSet<>(BY_DEADLINE));
        }
    }

    /** Creates an empty queue. */
    public static DeadlineQueue create() {
        return new DeadlineQueue();
    }

    /**
     * A queued request.
     *
     * @param request the request
     * @param workClass its work class
     * @param admission its places under the caps
     * @param sequence its position in arrival order, which breaks ties between equal deadlines
     */
    public record Entry(
            SiteRequest request,
            WorkClass workClass,
            Admission.Admitted admission,
            long sequence) {}

    /** Adds a request that holds {@code admission}. */
    public void add(SiteRequest request, WorkClass workClass, Admission.Admitted admission) {
        Entry entry = new Entry(request, workClass, admission, mSequence++);
        waiting(workClass).add(entry);
        mById.put(request.id(), entry);
    }

    /** Returns how many requests of a class would be ahead of one with the deadline. */
    public int countAhead(WorkClass workClass, long deadlineNanos) {
        TreeSet<Entry> waiting = waiting(workClass);
        if (waiting.isEmpty() || waiting.last().request().deadlineNanos() <= deadlineNanos) {
            return waiting.size();
        }
        int count = 0;
        for (Entry entry : waiting) {
            if (entry.request().deadlineNanos() > deadlineNanos) {
                break;
            }
            count++;
        }
        return count;
    }

    /** Removes and returns the first request of a class that {@code maySend} accepts, if any. */
    public @Nullable Entry poll(WorkClass workClass, Predicate<Entry> maySend) {
        Iterator<Entry> iterator = waiting(workClass).iterator();
        for (int i = 0; i < MAX_SCANNED && iterator.hasNext(); i++) {
            Entry entry = iterator.next();
            if (maySend.test(entry)) {
                iterator.remove();
                mById.remove(entry.request().id());
                return entry;
            }
        }
        return null;
    }

    /** Removes and returns the requests of a class whose deadline is not after {@code nanos}. */
    public List<Entry> removeExpiring(WorkClass workClass, long nanos) {
        TreeSet<Entry> waiting = waiting(workClass);
        List<Entry> expiring = new ArrayList<>();
        while (!waiting.isEmpty() && waiting.first().request().deadlineNanos() <= nanos) {
            Entry entry = waiting.removeFirst();
            mById.remove(entry.request().id());
            expiring.add(entry);
        }
        return expiring;
    }

    /** Removes and returns a request, or returns null if it is not queued. */
    public @Nullable Entry remove(long requestId) {
        Entry entry = mById.remove(requestId);
        if (entry != null) {
            waiting(entry.workClass()).remove(entry);
        }
        return entry;
    }

    /** Removes and returns all requests. */
    public List<Entry> removeAll() {
        List<Entry> all = new ArrayList<>();
        for (TreeSet<Entry> waiting : mWaiting.values()) {
            all.addAll(waiting);
            waiting.clear();
        }
        mById.clear();
        return all;
    }

    /** Returns the first request of a class, or null if none is queued. */
    public @Nullable Entry first(WorkClass workClass) {
        TreeSet<Entry> waiting = waiting(workClass);
        return waiting.isEmpty() ? null : waiting.first();
    }

    /** Returns how many requests of a class are queued. */
    public int size(WorkClass workClass) {
        return waiting(workClass).size();
    }

    private TreeSet<Entry> waiting(WorkClass workClass) {
        return requireNonNull(mWaiting.get(workClass));
    }
}
