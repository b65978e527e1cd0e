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
 * Runs the processes of one zone over an in-memory network and table with a virtual clock. After
 * every event it checks that at most one process may send for each site.
 */
final class ZoneSimulation {
    static final String ZONE = "suva";
    static final Set<String> SERVICES = Set.of("s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8");
    private static final long TICK_MILLIS = 100;

    /** Thrown when two processes may send for the same site. */
    static final class TwoOwnersException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        TwoOwnersException(String message) {
            super(message);
        }
    }

    private record Event(long at, long number, Runnable task) {}

    final SimulatedTable table = new SimulatedTable();
    final List<SimulatedProcess> processes = new ArrayList<>();
    final Set<String> cuts = new HashSet<>();
    final Set<String> cutFromPlatform = new HashSet<>();
    boolean platformDown;
    boolean staleReads;
    int answersToLose;

    /** Called before each step of the protocol that changes something, with its number. */
    @Nullable StepHook hook;

    interface StepHook {
        void before(int step, SimulatedProcess process, RosterEffect effect);
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
        RosterMachine machine = RosterMachine.create(self, zone, schedule);
        return new SimulatedProcess.Node() {
            @Override
            public List<RosterEffect> handle(RosterInput input, long now) {
                return machine.handle(input, now);
            }

            @Override
            public RosterView view() {
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
        processes.add(process);
        mByAddress.put(address, process);
        deliver(process, new RosterInput.SettingsChanged(1, SERVICES));
        at(mTime + mRandom.nextInt((int) TICK_MILLIS), () -> tick(process));
        return process;
    }

    void crash(SimulatedProcess process) {
        process.state = State.DEAD;
        process.inbox.clear();
        process.effects.clear();
    }

    void pause(SimulatedProcess process, long millis) {
        if (process.state != State.RUNNING) {
            return;
        }
        process.state = State.PAUSED;
        at(mTime + millis, () -> wake(process));
    }

    private void wake(SimulatedProcess process) {
        if (process.state != State.PAUSED) {
            return;
        }
        process.state = State.RUNNING;
        runEffects(process);
        // Each input is an event of its own, since requests may be sent between any two of them.
        while (!process.inbox.isEmpty()) {
            at(mTime, process.inbox.poll());
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
    void deliver(SimulatedProcess process, RosterInput input) {
        deliver(process, input, answer -> {});
    }

    /** Returns the processes that may send for {@code service}. */
    List<SimulatedProcess> senders(String service) {
        return processes.stream().filter(p -> p.maySend(service, mTime)).toList();
    }

    /** Returns the services that no running process may send for. */
    Set<String> unserved() {
        Set<String> unserved = new TreeSet<>();
        for (String service : SERVICES) {
            if (senders(service).stream().noneMatch(p -> p.state == State.RUNNING)) {
                unserved.add(service);
            }
        }
        return unserved;
    }

    private interface Answers {
        void answer(RosterEffect effect);
    }

    private void check() {
        for (String service : SERVICES) {
            SimulatedProcess first = null;
            for (SimulatedProcess process : processes) {
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
                                        + table.current());
                    }
                    first = process;
                }
            }
        }
    }

    private void tick(SimulatedProcess process) {
        if (process.state == State.DEAD || process.left || process.superseded) {
            return;
        }
        if (process.state == State.RUNNING) {
            deliver(process, new RosterInput.Tick());
        }
        at(mTime + TICK_MILLIS, () -> tick(process));
    }

    private void deliver(SimulatedProcess process, RosterInput input, Answers answers) {
        if (process.state == State.DEAD) {
            return;
        }
        if (process.state == State.PAUSED) {
            process.inbox.add(() -> deliver(process, input, answers));
            return;
        }
        for (RosterEffect effect : process.handle(input, mTime)) {
            process.effects.add(() -> carryOut(process, effect, answers));
        }
        runEffects(process);
    }

    private void runEffects(SimulatedProcess process) {
        while (process.state == State.RUNNING && !process.effects.isEmpty()) {
            process.effects.poll().run();
        }
    }

    private static boolean isStep(RosterEffect effect) {
        return switch (effect) {
            case RosterEffect.SendHeartbeat send -> send.heartbeat().roster() != null;
            case RosterEffect.AnswerHeartbeat answer -> answer.answer().roster() != null;
            default -> true;
        };
    }

    private void carryOut(SimulatedProcess process, RosterEffect effect, Answers answers) {
        if (isStep(effect)) {
            int step = mSteps++;
            if (hook != null) {
                hook.before(step, process, effect);
                if (process.state == State.DEAD) {
                    return;
                }
                if (process.state == State.PAUSED) {
                    process.effects.addFirst(() -> perform(process, effect, answers));
                    return;
                }
            }
        }
        perform(process, effect, answers);
    }

    private void perform(SimulatedProcess process, RosterEffect effect, Answers answers) {
        switch (effect) {
            case RosterEffect.SendHeartbeat send -> send(process, send);
            case RosterEffect.SendRelease send -> send(process, send);
            case RosterEffect.ReadRow read -> read(process);
            case RosterEffect.WriteRow write -> write(process, write);
            case RosterEffect.Left left -> process.left = true;
            case RosterEffect.Superseded superseded -> process.superseded = true;
            default -> answers.answer(effect);
        }
    }

    private boolean open(SimulatedProcess from, SimulatedProcess to) {
        return !cuts.contains(from.self.host() + ">" + to.self.host());
    }

    private long networkDelay() {
        return 1 + mRandom.nextInt(4);
    }

    private void send(SimulatedProcess from, RosterEffect.SendHeartbeat sent) {
        if (from.pauseAfterHeartbeat) {
            from.pauseAfterHeartbeat = false;
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
                                new RosterInput.HeartbeatReceived(sent.heartbeat()),
                                effect -> {
                                    if (effect instanceof RosterEffect.AnswerHeartbeat answer
                                            && open(to, from)) {
                                        RosterInput input =
                                                new RosterInput.HeartbeatAnswered(
                                                        sent, answer.answer());
                                        at(mTime + networkDelay(), () -> deliver(from, input));
                                    }
                                }));
    }

    private void send(SimulatedProcess from, RosterEffect.SendRelease sent) {
        SimulatedProcess to = mByAddress.get(sent.to().peerAddress());
        if (to == null || !open(from, to)) {
            return;
        }
        at(
                mTime + networkDelay(),
                () ->
                        deliver(
                                to,
                                new RosterInput.ReleaseReceived(sent.release()),
                                effect -> {
                                    if (effect instanceof RosterEffect.AnswerRelease answer
                                            && open(to, from)) {
                                        RosterInput input =
                                                new RosterInput.ReleaseAnswered(
                                                        sent, answer.accepted());
                                        at(mTime + networkDelay(), () -> deliver(from, input));
                                    }
                                }));
    }

    private boolean platformReaches(SimulatedProcess process) {
        return !platformDown && !cutFromPlatform.contains(process.self.host());
    }

    private void read(SimulatedProcess process) {
        at(
                mTime + 5 + mRandom.nextInt(20),
                () -> {
                    RosterInput input =
                            platformReaches(process)
                                    ? new RosterInput.RowRead(
                                            staleReads
                                                    ? table.stale(1 + mRandom.nextInt(4))
                                                    : table.current())
                                    : new RosterInput.ReadFailed();
                    at(mTime + 5 + mRandom.nextInt(20), () -> deliver(process, input));
                });
    }

    private void write(SimulatedProcess process, RosterEffect.WriteRow write) {
        if (answersToLose > 0) {
            answersToLose--;
            // The write takes effect at once, or long after the process has given up on it.
            long delay = mRandom.nextBoolean() ? 10 : 3000 + mRandom.nextInt(4000);
            at(mTime + delay, () -> table.write(write.version(), write.roster()));
            at(mTime + 3000, () -> deliver(process, new RosterInput.WriteLost()));
            return;
        }
        at(
                mTime + 5 + mRandom.nextInt(20),
                () -> {
                    RosterInput input = new RosterInput.WriteLost();
                    if (platformReaches(process)) {
                        input =
                                table.write(write.version(), write.roster())
                                        ? new RosterInput.WriteDone(table.current())
                                        : new RosterInput.WriteConflict(table.current());
                    }
                    RosterInput result = input;
                    at(mTime + 5 + mRandom.nextInt(20), () -> deliver(process, result));
                });
    }
}
