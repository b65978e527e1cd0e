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
 * Discrete-event simulation of one zone's processes over an in-memory network and roster row. After
 * every task it checks that at most one process may send requests of each site.
 */
final class ZoneSimulation {
    static final String ZONE = "suva";
    static final Set<String> SERVICES = Set.of("s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8");
    private static final long TICK_MILLIS = 100;

    /** Thrown when two processes may send requests of the same site. */
    static final class TwoOwnersException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        TwoOwnersException(String message) {
            super(message);
        }
    }

    private record ScheduledTask(long at, long number, Runnable task) {}

    final SimulatedRosterTable mTable = new SimulatedRosterTable();
    final List<SimulatedProcess> mProcesses = new ArrayList<>();
    final Set<String> mBlockedLinks = new HashSet<>();
    final Set<String> mHostsWithoutPlatform = new HashSet<>();
    boolean mPlatformDown;
    boolean mStaleReads;
    int mWriteAnswersToLose;

    /** Called with its number before each protocol step that changes state. */
    @Nullable StepHook mStepHook;

    interface StepHook {
        void beforeStep(int step, SimulatedProcess process, MembershipEffect effect);
    }

    private final PriorityQueue<ScheduledTask> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledTask::at)
                            .thenComparingLong(ScheduledTask::number));
    private final SplittableRandom mRandom;
    private final SimulatedProcess.NodeFactory mNodeFactory;
    private final Map<String, SimulatedProcess> mByAddress = new HashMap<>();
    private long mTime;
    private long mTaskNumber;
    private int mSteps;
    private int mNextPort = 1000;

    ZoneSimulation(long seed, SimulatedProcess.NodeFactory nodeFactory) {
        mRandom = new SplittableRandom(seed);
        mNodeFactory = nodeFactory;
    }

    static SimulatedProcess.Node stateMachine(
            Member self, String zone, HeartbeatSchedule schedule) {
        MembershipStateMachine stateMachine = MembershipStateMachine.create(self, zone, schedule);
        return new SimulatedProcess.Node() {
            @Override
            public List<MembershipEffect> handle(MembershipEvent event, long now) {
                return stateMachine.handle(event, now);
            }

            @Override
            public MembershipView view() {
                return stateMachine.view();
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

    /** Starts a process of {@code host} with a higher incarnation than any earlier process. */
    SimulatedProcess start(String host, String address) {
        long incarnation = mTime + 1;
        Member self = new Member(host, incarnation, address, address, Member.State.SERVING);
        // Clock rates differ by up to 2% and clocks start at arbitrary values.
        double rate = 0.99 + 0.02 * mRandom.nextDouble();
        SimulatedProcess process =
                new SimulatedProcess(
                        self,
                        mNodeFactory.create(self, ZONE, HeartbeatSchedule.DEFAULT),
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
        process.mDelayedEvents.clear();
        process.mPendingEffects.clear();
    }

    void pause(SimulatedProcess process, long millis) {
        if (process.mState != State.RUNNING) {
            return;
        }
        process.mState = State.PAUSED;
        at(mTime + millis, () -> resume(process));
    }

    private void resume(SimulatedProcess process) {
        if (process.mState != State.PAUSED) {
            return;
        }
        process.mState = State.RUNNING;
        runEffects(process);
        // Each delayed event is a task of its own, since requests may be sent between any two.
        while (!process.mDelayedEvents.isEmpty()) {
            at(mTime, process.mDelayedEvents.poll());
        }
    }

    /** Runs a task at a later time. */
    void at(long time, Runnable task) {
        mTasks.add(new ScheduledTask(time, mTaskNumber++, task));
    }

    /** Runs until {@code time} and checks the invariant after every task. */
    void runUntil(long time) {
        while (!mTasks.isEmpty() && mTasks.peek().at() <= time) {
            ScheduledTask next = mTasks.poll();
            mTime = next.at();
            next.task().run();
            checkSingleOwner();
        }
        mTime = time;
    }

    /** Delivers an event to a process, or delays it until a paused process resumes. */
    void deliver(SimulatedProcess process, MembershipEvent event) {
        deliver(process, event, answer -> {});
    }

    /** Returns the processes that may send requests of {@code service}. */
    List<SimulatedProcess> senders(String service) {
        return mProcesses.stream().filter(p -> p.maySend(service, mTime)).toList();
    }

    /** Returns the services for which no running process may send requests. */
    Set<String> servicesWithoutOwner() {
        Set<String> servicesWithoutOwner = new TreeSet<>();
        for (String service : SERVICES) {
            if (senders(service).stream().noneMatch(p -> p.mState == State.RUNNING)) {
                servicesWithoutOwner.add(service);
            }
        }
        return servicesWithoutOwner;
    }

    private interface AnswerSink {
        void answer(MembershipEffect effect);
    }

    private void checkSingleOwner() {
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
        if (process.mState == State.DEAD || process.mDeregistered || process.mSuperseded) {
            return;
        }
        if (process.mState == State.RUNNING) {
            deliver(process, new MembershipEvent.Tick());
        }
        at(mTime + TICK_MILLIS, () -> tick(process));
    }

    private void deliver(SimulatedProcess process, MembershipEvent event, AnswerSink answerSink) {
        if (process.mState == State.DEAD) {
            return;
        }
        if (process.mState == State.PAUSED) {
            process.mDelayedEvents.add(() -> deliver(process, event, answerSink));
            return;
        }
        for (MembershipEffect effect : process.handle(event, mTime)) {
            process.mPendingEffects.add(() -> beginStep(process, effect, answerSink));
        }
        runEffects(process);
    }

    private void runEffects(SimulatedProcess process) {
        while (process.mState == State.RUNNING && !process.mPendingEffects.isEmpty()) {
            process.mPendingEffects.poll().run();
        }
    }

    private static boolean isStep(MembershipEffect effect) {
        return switch (effect) {
            case MembershipEffect.SendHeartbeat send -> send.heartbeat().roster() != null;
            case MembershipEffect.AnswerHeartbeat answer -> answer.answer().roster() != null;
            default -> true;
        };
    }

    private void beginStep(
            SimulatedProcess process, MembershipEffect effect, AnswerSink answerSink) {
        if (isStep(effect)) {
            int step = mSteps++;
            if (mStepHook != null) {
                mStepHook.beforeStep(step, process, effect);
                if (process.mState == State.DEAD) {
                    return;
                }
                if (process.mState == State.PAUSED) {
                    process.mPendingEffects.addFirst(() -> perform(process, effect, answerSink));
                    return;
                }
            }
        }
        perform(process, effect, answerSink);
    }

    private void perform(SimulatedProcess process, MembershipEffect effect, AnswerSink answerSink) {
        switch (effect) {
            case MembershipEffect.SendHeartbeat send -> send(process, send);
            case MembershipEffect.SendRelease send -> send(process, send);
            case MembershipEffect.ReadRow read -> read(process);
            case MembershipEffect.WriteRow write -> write(process, write);
            case MembershipEffect.Deregistered left -> process.mDeregistered = true;
            case MembershipEffect.Superseded superseded -> process.mSuperseded = true;
            default -> answerSink.answer(effect);
        }
    }

    private boolean isLinkOpen(SimulatedProcess from, SimulatedProcess to) {
        return !mBlockedLinks.contains(from.mSelf.host() + ">" + to.mSelf.host());
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
        if (to == null || !isLinkOpen(from, to)) {
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
                                            && isLinkOpen(to, from)) {
                                        MembershipEvent event =
                                                new MembershipEvent.HeartbeatAnswered(
                                                        sent, answer.answer());
                                        at(mTime + networkDelay(), () -> deliver(from, event));
                                    }
                                }));
    }

    private void send(SimulatedProcess from, MembershipEffect.SendRelease sent) {
        SimulatedProcess to = mByAddress.get(sent.to().peerAddress());
        if (to == null || !isLinkOpen(from, to)) {
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
                                            && isLinkOpen(to, from)) {
                                        MembershipEvent event =
                                                new MembershipEvent.ReleaseAnswered(
                                                        sent, answer.accepted());
                                        at(mTime + networkDelay(), () -> deliver(from, event));
                                    }
                                }));
    }

    private boolean canReachPlatform(SimulatedProcess process) {
        return !mPlatformDown && !mHostsWithoutPlatform.contains(process.mSelf.host());
    }

    private void read(SimulatedProcess process) {
        at(
                mTime + 5 + mRandom.nextInt(20),
                () -> {
                    MembershipEvent event =
                            canReachPlatform(process)
                                    ? new MembershipEvent.RowRead(
                                            mStaleReads
                                                    ? mTable.stale(1 + mRandom.nextInt(4))
                                                    : mTable.current())
                                    : new MembershipEvent.ReadFailed();
                    at(mTime + 5 + mRandom.nextInt(20), () -> deliver(process, event));
                });
    }

    private void write(SimulatedProcess process, MembershipEffect.WriteRow write) {
        if (mWriteAnswersToLose > 0) {
            mWriteAnswersToLose--;
            // The write takes effect at once, or up to four seconds after the process timed out.
            long delay = mRandom.nextBoolean() ? 10 : 3000 + mRandom.nextInt(4000);
            at(mTime + delay, () -> mTable.write(write.version(), write.roster()));
            at(mTime + 3000, () -> deliver(process, new MembershipEvent.WriteOutcomeUnknown()));
            return;
        }
        at(
                mTime + 5 + mRandom.nextInt(20),
                () -> {
                    MembershipEvent event = new MembershipEvent.WriteOutcomeUnknown();
                    if (canReachPlatform(process)) {
                        event =
                                mTable.write(write.version(), write.roster())
                                        ? new MembershipEvent.WriteSucceeded(mTable.current())
                                        : new MembershipEvent.WriteConflict(mTable.current());
                    }
                    MembershipEvent result = event;
                    at(mTime + 5 + mRandom.nextInt(20), () -> deliver(process, result));
                });
    }
}
