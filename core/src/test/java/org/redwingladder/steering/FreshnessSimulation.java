package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Simulates in virtual time how old the proofs of hosts become while the hosts that follow the
 * store fail.
 */
final class FreshnessSimulation {
    static final long MILLI = 1_000_000L;
    private static final long CHECK = 100 * MILLI;
    private static final long PERIODIC_TASKS = 1_000 * MILLI;
    private static final long PROOF_PERIOD = 1_000 * MILLI;
    private static final long POLL_SLACK = 1_000 * MILLI;
    private static final long STORE_DELAY = 35 * MILLI;
    private static final long SLOW_STORE_DELAY = 200 * MILLI;
    private static final long STARVED_DELAY = 400 * MILLI;
    private static final long FAULT_START = 10_000 * MILLI;
    private static final long FAULT_END = 16_000 * MILLI;
    private static final long END = 22_000 * MILLI;

    /** What happens to the hosts that follow the store, or to the store itself. */
    enum Fault {
        NONE,
        /** The readers end; their heartbeats are missed after 4 s. */
        LOST,
        /** The readers do nothing, but count as alive. */
        SUSPENDED,
        /** Each step of the readers is late. */
        STARVED,
        /** The store's responses do not reach the readers. */
        CUT,
        /** The store rejects the calls of the readers. */
        REFUSED,
        /** The store's responses take longer, and the readers are lost. */
        LOST_AND_SLOW_STORE,
        /** The store responds to no host. */
        STORE_DOWN
    }

    private record Event(long nanos, long number, Runnable action) {}

    private final SplittableRandom mRandom;
    private final Fault mFault;
    private final boolean mQuestions;
    private final List<Host> mHosts = new ArrayList<>();
    private final Map<String, String> mRegionOfZone = new HashMap<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.nanos() != b.nanos()
                                    ? Long.compare(a.nanos(), b.nanos())
                                    : Long.compare(a.number(), b.number()));
    private final TreeMap<Long, Integer> mDirectReads = new TreeMap<>();
    private Set<String> mReaders = Set.of();
    private long mNow;
    private long mEventCount;
    private long mOldest;

    /**
     * Creates a simulation.
     *
     * @param questions whether hosts ask; otherwise readers forward their proofs
     */
    FreshnessSimulation(int hosts, int regions, Fault fault, boolean questions, long seed) {
        mRandom = new SplittableRandom(seed);
        mFault = fault;
        mQuestions = questions;
        for (int i = 0; i < hosts; i++) {
            String zone = "z" + i % (2 * regions);
            mRegionOfZone.put(zone, "r" + i % regions);
        }
        for (int i = 0; i < hosts; i++) {
            mHosts.add(new Host("h" + i, "z" + i % (2 * regions)));
        }
        List<HostState> states = mHosts.stream().map(host -> host.mState).toList();
        List<String> readers = new ArrayList<>();
        for (int i = 0; i < regions; i++) {
            readers.addAll(
                    StoreReaderSelector.readers("r" + i, states, mRegionOfZone).stream()
                            .map(HostState::name)
                            .toList());
        }
        // At least one host must be left whose knowledge can be judged.
        mReaders = Set.copyOf(readers.size() == hosts ? readers.subList(1, hosts) : readers);
    }

    /** Returns the greatest age of a proof at a host that is not faulty, in milliseconds. */
    long oldestMillis() {
        for (Host host : mHosts) {
            at(mRandom.nextLong(CHECK), host::check);
            at(mRandom.nextLong(PERIODIC_TASKS), host::periodic);
        }
        while (mNow < END) {
            Event event = mEvents.remove();
            mNow = event.nanos();
            event.action().run();
        }
        return mOldest / MILLI;
    }

    /** Returns the most calls of all hosts in a second that are not long polls. */
    int mostDirectReadsPerSecond() {
        int most = 0;
        for (long start : mDirectReads.keySet()) {
            int calls =
                    mDirectReads.subMap(start, start + 1_000 * MILLI).values().stream()
                            .mapToInt(Integer::intValue)
                            .sum();
            most = Math.max(most, calls);
        }
        return most;
    }

    private void at(long nanos, Runnable action) {
        mEvents.add(new Event(nanos, mEventCount++, action));
    }

    private void after(long delay, Runnable action) {
        at(mNow + delay, action);
    }

    private boolean faulty() {
        return mNow >= FAULT_START && mNow < FAULT_END;
    }

    private List<HostState> alive() {
        boolean readersMissed =
                (mFault == Fault.LOST || mFault == Fault.LOST_AND_SLOW_STORE)
                        && mNow > FAULT_START + 4_000 * MILLI;
        return mHosts.stream()
                .map(host -> host.mState)
                .filter(state -> !(readersMissed && mReaders.contains(state.name())))
                .toList();
    }

    private final class Host {
        private final HostState mState;
        private final FreshnessPolicy mPolicy;
        private long mProven;
        private boolean mWatching;
        private long mGeneration;

        Host(String name, String zone) {
            mState = new HostState(name, 1, 1, zone, name, name, true, true, 1, Map.of());
            mPolicy =
                    new FreshnessPolicy(
                            name,
                            String.valueOf(mRegionOfZone.get(zone)),
                            mRegionOfZone,
                            mRandom.split(),
                            0);
        }

        private boolean isFaulty() {
            return faulty() && mReaders.contains(mState.name());
        }

        private boolean dead() {
            return switch (mFault) {
                case LOST, LOST_AND_SLOW_STORE ->
                        mNow >= FAULT_START && mReaders.contains(mState.name());
                case SUSPENDED -> isFaulty();
                default -> false;
            };
        }

        private long stepDelay() {
            return mFault == Fault.STARVED && isFaulty() ? STARVED_DELAY : 0;
        }

        private void observe() {
            boolean judged =
                    mNow > 3_000 * MILLI
                            && !(mReaders.contains(mState.name()) && mNow >= FAULT_START)
                            && mFault != Fault.STORE_DOWN;
            if (judged) {
                mOldest = Math.max(mOldest, mNow - mProven);
            }
        }

        private void prove(long proven) {
            observe();
            mProven = Math.max(mProven, proven);
        }

        private void check() {
            after(CHECK + stepDelay(), this::check);
            observe();
            if (mQuestions && !dead()) {
                step();
            }
        }

        private void step() {
            switch (mPolicy.next(mProven, alive(), mNow)) {
                case FreshnessPolicy.Step.Idle idle -> {}
                case FreshnessPolicy.Step.AskHost ask -> ask(ask.host(), ask.deadlineNanos());
                case FreshnessPolicy.Step.AskStore ask -> readStore(ask.deadlineNanos());
            }
        }

        private void periodic() {
            after(PERIODIC_TASKS, this::periodic);
            updateWatching();
        }

        private void updateWatching() {
            boolean reader =
                    StoreReaderSelector.isReader(
                            mState.name(), mPolicy.trusted(alive(), mNow), mRegionOfZone);
            if (reader && !mWatching && !dead()) {
                mWatching = true;
                poll();
            } else if (!reader) {
                mWatching = false;
                mGeneration++;
            }
        }

        /** Calls {@code answered} at the response of the store, or {@code failed} without one. */
        private void callStore(long wait, long timeout, Runnable answered, Runnable failed) {
            boolean noResponse = mFault == Fault.STORE_DOWN && faulty();
            boolean cut = mFault == Fault.CUT && isFaulty();
            if (noResponse || cut) {
                after(timeout, failed);
            } else if (mFault == Fault.REFUSED && isFaulty()) {
                after(2 * STORE_DELAY, failed);
            } else {
                long slow =
                        mFault == Fault.LOST_AND_SLOW_STORE && mNow >= FAULT_START
                                ? SLOW_STORE_DELAY
                                : 0;
                after(wait + 2 * STORE_DELAY + slow + stepDelay(), answered);
            }
        }

        private void poll() {
            if (!mWatching || dead()) {
                return;
            }
            long sent = mNow;
            long generation = ++mGeneration;
            long wait = Math.clamp(PROOF_PERIOD - (sent - mProven), 0, PROOF_PERIOD);
            callStore(
                    wait,
                    wait + POLL_SLACK,
                    () -> {
                        if (generation == mGeneration && !dead()) {
                            prove(sent + wait);
                            forward();
                            poll();
                        }
                    },
                    () -> {
                        if (generation == mGeneration) {
                            after(300 * MILLI, this::poll);
                        }
                    });
        }

        private void forward() {
            long proven = mProven;
            if (!mQuestions) {
                for (Host host : mHosts) {
                    if (host != this
                            && String.valueOf(mRegionOfZone.get(mState.zone()))
                                    .equals(mRegionOfZone.get(host.mState.zone()))) {
                        after(mRandom.nextLong(5 * MILLI), () -> host.prove(proven));
                    }
                }
            }
        }

        private void ask(HostState target, long deadline) {
            long sent = mNow;
            Host host = mHosts.get(Integer.parseInt(target.name().substring(1)));
            long delay = mRandom.nextLong(1, 5 * MILLI);
            after(
                    delay + host.stepDelay(),
                    () -> {
                        long age = mNow - host.mProven;
                        long answered = mNow + delay;
                        if (host.dead() || answered > deadline) {
                            at(Math.max(mNow, deadline), () -> failed(target));
                            return;
                        }
                        boolean outdated =
                                host.mWatching && age >= mPolicy.outdatedAgeNanos(alive());
                        at(
                                answered,
                                () -> {
                                    prove(sent - age);
                                    mPolicy.hostAnswered(target.name(), mProven, outdated, mNow);
                                });
                    });
        }

        private void failed(HostState target) {
            mPolicy.hostFailed(target.name(), mNow);
            updateWatching();
            step();
        }

        private void readStore(long deadline) {
            long sent = mNow;
            mDirectReads.merge(sent, 2, Integer::sum);
            int hosts = alive().size();
            callStore(
                    0,
                    deadline - mNow,
                    () -> {
                        prove(sent);
                        mPolicy.storeAnswered(hosts, mNow);
                        updateWatching();
                    },
                    () -> mPolicy.storeFailed(hosts, mNow));
        }
    }
}
