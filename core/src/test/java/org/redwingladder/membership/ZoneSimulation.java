package org.redwingladder.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.redwingladder.membership.SimulatedProcess.State;

/**
 * Runs the mProcesses of one zone over an in-memory network and mTable with a virtual clock. After
 * every event it checks that at most one process may send for each site.
 */
final class ZoneSimulation {
    static final String ZONE = "suva";
    static final Set<String> SERVICES = Set.of("s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8");
    private static final long TICK_MILLIS = 100;

    /** Thrown when two mProcesses may send for the same site. */
    static final class TwoOwnersException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        TwoOwnersException(String message) {
            super(message);
        }
    }

    private record Event(long at, long number, Runnable task) {}

    final SimulatedRosterTable mTable = new SimulatedRosterTable();
    final List<SimulatedProcess> mProcesses = new ArrayList<>();
    final Set<String> mCuts = new HashSet<>();
    final Set<String> mCutFromPlatform = new HashSet<>();
    boolean mPlatformDown;
    boolean mStaleReads;
    int mAnswersToLose;

    /** Called before each step of the protocol that changes something, with its number. */
    @Nullable StepHook mHook;

    interface StepHook {
        void before(int step, SimulatedProcess process, MembershipEffect effect);
    }

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final SplittableRandom mRandom;
    private final SimulatedProcess.Mechanism mMechanism;
    private final Map<String, SimulatedProcess> mByAddress = new HashMap<>();
    private long mTime;
    private long mEventNumber;
    private int mSteps;
    private int mNextPort = 1000;

    ZoneSimulation(long seed, SimulatedProcess.Mechanism mechanism) {
        mRandom = new SplittableRandom(seed);
        mMechanism = mechanism;
    }

    static SimulatedProcess.Node machine(Member self, String zone, HeartbeatSchedule schedule) {
        MembershipStateMachine machine = MembershipStateMachine.create(self, zone, schedule);
        return new SimulatedProcess.Node() {
            @Override
            public List<MembershipEffect> handle(MembershipEvent input, long now) {
                return machine.handle(input, now);
            }

            @Override
            public MembershipView view() {
                return machine.view();
            }
        };
    }

    long time() {
        return mTime;
    }

    int steps() {
        return mSteps;
    }

    SimulatedProcess start(String host) {
        return start(host, "10.0.0.1:" + mNextPort++);
    }

    /** Starts a process of {@code host}, with a higher incarnation than any before. */
    SimulatedProcess start(String host, String address) {
        long incarnation = mTime + 1;
        Member self = new Member(host, incarnation, address, address, Member.State.SERVING);
        // Clocks differ by up to 2% in rate and start anywhere.
        double rate = 0.99 + 0.02 * mRandom.nextDouble();
        SimulatedProcess process =
                new SimulatedProcess(
                        self,
                        mMechanism.create(self, ZONE, HeartbeatSchedule.DEFAULT),
                        rate,
                        mRandom.nextInt(1_000_000));
        mProcesses.add(process);
        mByAddress.put(address, process);
        deliver(process, new MembershipEvent.SettingsChanged(1, SERVICES));
        at(mTime + mRandom.nextInt((int) TICK_MILLIS), () -> tick(process));
        return process;
    }

    void crash(SimulatedProcess process) {
        process.mState = State.DEAD;
        process.mInbox.clear();
        process.mEffects.clear();
    }

    void pause(SimulatedProcess process, long millis) {
        if (process.mState != State.RUNNING) {
            return;
        }
        process.mState = State.PAUSED;
        at(mTime + millis, () -> wake(process));
    }

    private void wake(SimulatedProcess process) {
        if (process.mState != State.PAUSED) {
            return;
        }
        process.mState = State.RUNNING;
        runEffects(process);
        // Each input is an event of its own, since requests may be sent between any two of them.
        while (!process.mInbox.isEmpty()) {
            at(mTime, process.mInbox.poll());
        }
    }

    /** Runs a task at a later time. */
    void at(long time, Runnable task) {
        mEvents.add(new Event(time, mEventNumber++, task));
    }

    /** Runs until {@code time} and checks the invariant after every event. */
    void runUntil(long time) {
        while (!mEvents.isEmpty() && mEvents.peek().at() <= time) {
            Event event = mEvents.poll();
            mTime = event.at();
            event.task().run();
            check();
        }
        mTime = time;
    }

    /** Hands an input to a process, or keeps it until the process wakes. */
    void deliver(SimulatedProcess process, MembershipEvent input) {
        deliver(process, input, answer -> {});
    }

    /** Returns the mProcesses that may send for {@code service}. */
    List<SimulatedProcess> senders(String service) {
        return mProcesses.stream().filter(p -> p.maySend(service, mTime)).toList();
    }

    /** Returns the services that no running process may send for. */
    Set<String> unserved() {
        Set<String> unserved = new TreeSet<>();
        for (String service : SERVICES) {
            if (senders(service).stream().noneMatch(p -> p.mState == State.RUNNING)) {
                unserved.add(service);
            }
        }
        return unserved;
    }

    private interface Answers {
        void answer(MembershipEffect effect);
    }

    private void check() {
        for (String service : SERVICES) {
            SimulatedProcess first = null;
            for (SimulatedProcess process : mProcesses) {
                if (process.maySend(service, mTime)) {
                    if (first != null) {
                        throw new TwoOwnersException(
                                first
                                        + " and "
                                        + process
                                        + " may send for "
                                        + service
                                        + " at "
                                        + mTime
                                        + "; row "
                                        + mTable.current());
                    }
                    first = process;
                }
            }
        }
    }

    private void tick(SimulatedProcess process) {
        if (process.mState == State.DEAD || process.mLeft || process.mSuperseded) {
            return;
        }
        if (process.mState == State.RUNNING) {
            deliver(process, new MembershipEvent.Tick());
        }
        at(mTime + TICK_MILLIS, () -> tick(process));
    }

    private void deliver(SimulatedProcess process, MembershipEvent input, Answers answers) {
        if (process.mState == State.DEAD) {
            return;
        }
        if (process.mState == State.PAUSED) {
            process.mInbox.add(() -> deliver(process, input, answers));
            return;
        }
        for (MembershipEffect effect : process.handle(input, mTime)) {
            process.mEffects.add(() -> carryOut(process, effect, answers));
        }
        runEffects(process);
    }

    private void runEffects(SimulatedProcess process) {
        while (process.mState == State.RUNNING && !process.mEffects.isEmpty()) {
            process.mEffects.poll().run();
        }
    }

    private static boolean isStep(MembershipEffect effect) {
        return switch (effect) {
            case MembershipEffect.SendHeartbeat send -> send.heartbeat().roster() != null;
            case MembershipEffect.AnswerHeartbeat answer -> answer.answer().roster() != null;
            default -> true;
        };
    }

    private void carryOut(SimulatedProcess process, MembershipEffect effect, Answers answers) {
        if (isStep(effect)) {
            int step = mSteps++;
            if (mHook != null) {
                mHook.before(step, process, effect);
                if (process.mState == State.DEAD) {
                    return;
                }
                if (process.mState == State.PAUSED) {
                    process.mEffects.addFirst(() -> perform(process, effect, answers));
                    return;
                }
            }
        }
        perform(process, effect, answers);
    }

    private void perform(SimulatedProcess process, MembershipEffect effect, Answers answers) {
        switch (effect) {
            case MembershipEffect.SendHeartbeat send -> send(process, send);
            case MembershipEffect.SendRelease send -> send(process, send);
            case MembershipEffect.ReadRow read -> read(process);
            case MembershipEffect.WriteRow write -> write(process, write);
            case MembershipEffect.Deregistered left -> process.mLeft = true;
            case MembershipEffect.Superseded superseded -> process.mSuperseded = true;
            default -> answers.answer(effect);
        }
    }

    private boolean open(SimulatedProcess from, SimulatedProcess to) {
        return !mCuts.contains(from.mSelf.host() + ">" + to.mSelf.host());
    }

    private long networkDelay() {
        return 1 + mRandom.nextInt(4);
    }

    private void send(SimulatedProcess from, MembershipEffect.SendHeartbeat sent) {
        if (from.mPauseAfterHeartbeat) {
            from.mPauseAfterHeartbeat = false;
            at(mTime + 1, () -> pause(from, 20_000));
        }
        SimulatedProcess to = mByAddress.get(sent.to().peerAddress());
        if (to == null || !open(from, to)) {
            return;
        }
        at(
                mTime + networkDelay(),
                () ->
                        deliver(
                                to,
                                new MembershipEvent.HeartbeatReceived(sent.heartbeat()),
                                effect -> {
                                    if (effect instanceof MembershipEffect.AnswerHeartbeat answer
                                            && open(to, from)) {
                                        MembershipEvent input =
                                                new MembershipEvent.HeartbeatAnswered(
                                                        sent, answer.answer());
                                        at(mTime + networkDelay(), () -> deliver(from, input));
                                    }
                                }));
    }

    private void send(SimulatedProcess from, MembershipEffect.SendRelease sent) {
        SimulatedProcess to = mByAddress.get(sent.to().peerAddress());
        if (to == null || !open(from, to)) {
            return;
        }
        at(
                mTime + networkDelay(),
                () ->
                        deliver(
                                to,
                                new MembershipEvent.ReleaseReceived(sent.release()),
                                effect -> {
                                    if (effect instanceof MembershipEffect.AnswerRelease answer
                                            && open(to, from)) {
                                        MembershipEvent input =
                                                new MembershipEvent.ReleaseAnswered(
                                                        sent, answer.accepted());
                                        at(mTime + networkDelay(), () -> deliver(from, input));
                                    }
                                }));
    }

    private boolean platformReaches(SimulatedProcess process) {
        return !mPlatformDown && !mCutFromPlatform.contains(process.mSelf.host());
    }

    private void read(SimulatedProcess process) {
        at(
                mTime + 5 + mRandom.nextInt(20),
                () -> {
                    MembershipEvent input =
                            platformReaches(process)
                                    ? new MembershipEvent.RowRead(
                                            mStaleReads
                                                    ? mTable.stale(1 + mRandom.nextInt(4))
                                                    : mTable.current())
                                    : new MembershipEvent.ReadFailed();
                    at(mTime + 5 + mRandom.nextInt(20), () -> deliver(process, input));
                });
    }

    private void write(SimulatedProcess process, MembershipEffect.WriteRow write) {
        if (mAnswersToLose > 0) {
            mAnswersToLose--;
            // The write takes effect at once, or long after the process has given up on it.
            long delay = mRandom.nextBoolean() ? 10 : 3000 + mRandom.nextInt(4000);
            at(mTime + delay, () -> mTable.write(write.version(), write.roster()));
            at(mTime + 3000, () -> deliver(process, new MembershipEvent.WriteOutcomeUnknown()));
            return;
        }
        at(
                mTime + 5 + mRandom.nextInt(20),
                () -> {
                    MembershipEvent input = new MembershipEvent.WriteOutcomeUnknown();
                    if (platformReaches(process)) {
                        input =
                                mTable.write(write.version(), write.roster())
                                        ? new MembershipEvent.WriteSucceeded(mTable.current())
                                        : new MembershipEvent.WriteConflict(mTable.current());
                    }
                    MembershipEvent result = input;
                    at(mTime + 5 + mRandom.nextInt(20), () -> deliver(process, result));
                });
    }
}
