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

/** Holds the requests that wait for a slot, by class and deadline. Not thread-safe. */
public final class SiteQueue {
    private static final Comparator<Entry> BY_DEADLINE =
            Comparator.comparingLong((Entry entry) -> entry.request().deadlineNanos())
                    .thenComparingLong(Entry::sequence);

    /** How many requests are looked at when caps hold the first ones back. */
    private static final int LOOK_AT = 16;

    private final Map<WorkClass, TreeSet<Entry>> mWaiting = new EnumMap<>(WorkClass.class);
    private final Map<Long, Entry> mById = new HashMap<>();
    private long mSequence;

    private SiteQueue() {
        for (WorkClass workClass : WorkClass.values()) {
            mWaiting.put(workClass, new TreeSet<>(BY_DEADLINE));
        }
    }

    /** Creates an empty queue. */
    public static SiteQueue create() {
        return new SiteQueue();
    }

    /**
     * Holds a request that waits.
     *
     * @param request the request
     * @param workClass its class
     * @param admission its places under the caps
     * @param sequence a number that rises with each request, which keeps equal deadlines apart
     */
    public record Entry(
            SiteRequest request,
            WorkClass workClass,
            Admission.Admitted admission,
            long sequence) {}

    /** Adds a request. */
    public void add(SiteRequest request, WorkClass workClass, Admission.Admitted admission) {
        Entry entry = new Entry(request, workClass, admission, mSequence++);
        waiting(workClass).add(entry);
        mById.put(request.id(), entry);
    }

    /** Returns how many requests of a class come before one with the deadline. */
    public int ahead(WorkClass workClass, long deadlineNanos) {
        TreeSet<Entry> waiting = waiting(workClass);
        if (waiting.isEmpty() || waiting.last().request().deadlineNanos() <= deadlineNanos) {
            return waiting.size();
        }
        int ahead = 0;
        for (Entry entry : waiting) {
            if (entry.request().deadlineNanos() > deadlineNanos) {
                break;
            }
            ahead++;
        }
        return ahead;
    }

    /** Removes and returns the first request of a class that {@code maySend} lets through. */
    public @Nullable Entry poll(WorkClass workClass, Predicate<Entry> maySend) {
        Iterator<Entry> iterator = waiting(workClass).iterator();
        for (int i = 0; i < LOOK_AT && iterator.hasNext(); i++) {
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
    public List<Entry> removeDueBy(WorkClass workClass, long nanos) {
        TreeSet<Entry> waiting = waiting(workClass);
        List<Entry> due = new ArrayList<>();
        while (!waiting.isEmpty() && waiting.first().request().deadlineNanos() <= nanos) {
            Entry entry = waiting.removeFirst();
            mById.remove(entry.request().id());
            due.add(entry);
        }
        return due;
    }

    /** Removes and returns a request, or returns null if it does not wait. */
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

    /** Returns the first request of a class, or null if none waits. */
    public @Nullable Entry first(WorkClass workClass) {
        TreeSet<Entry> waiting = waiting(workClass);
        return waiting.isEmpty() ? null : waiting.first();
    }

    /** Returns how many requests of a class wait. */
    public int size(WorkClass workClass) {
        return waiting(workClass).size();
    }

    private TreeSet<Entry> waiting(WorkClass workClass) {
        return requireNonNull(mWaiting.get(workClass));
    }
}
