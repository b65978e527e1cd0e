package org.redwingladder.membership;

import java.util.List;
import org.redwingladder.membership.SimulatedProcess.State;

/** Simulates joins, a planned stop and a crash, and injects faults before the given steps. */
final class FaultInjectionScenario {
    private static final long LAST_FAULT_AT_MILLIS = 45_000;
    private static final long HEALED_AT_MILLIS = 70_000;
    private static final long END_MILLIS = 130_000;

    /** The faults that can be injected before a protocol step. */
    enum Fault {
        CRASH,
        RESTART,
        REPLACE,
        PAUSE,
        SHORT_PAUSE,
        PAUSE_BEFORE_ANSWERS,
        PARTITION,
        PARTITION_OUTBOUND,
        PARTITION_INBOUND,
        PLATFORM_OUTAGE,
        PARTITION_FROM_PLATFORM,
        LOST_WRITE_ANSWER,
        STALE_READS
    }

    final ZoneSimulation mZone;
    private final List<Fault> mFaults;
    private final List<Integer> mSteps;
    private int mFirstStep = Integer.MAX_VALUE;

    FaultInjectionScenario(
            long seed,
            SimulatedProcess.NodeFactory nodeFactory,
            List<Fault> faults,
            List<Integer> steps) {
        mZone = new ZoneSimulation(seed, nodeFactory);
        mFaults = faults;
        mSteps = steps;
        mZone.mStepHook =
                (step, process, effect) -> {
                    for (int i = 0; i < mFaults.size(); i++) {
                        if (step == mFirstStep + mSteps.get(i)
                                && mZone.time() < LAST_FAULT_AT_MILLIS) {
                            inject(mFaults.get(i), process);
                        }
                    }
                };
    }

    /** Runs the scenario; returns the number of steps before which a fault can be injected. */
    int run() {
        SimulatedProcess drained = mZone.start("a");
        mZone.runUntil(2_000);
        SimulatedProcess crashed = mZone.start("b");
        mZone.start("c");
        mZone.start("d");
        mZone.runUntil(10_000);
        mFirstStep = mZone.steps();
        mZone.at(10_100, () -> mZone.start("e"));
        mZone.at(15_000, () -> mZone.deliver(drained, new MembershipEvent.Drain()));
        mZone.at(20_000, () -> mZone.deliver(drained, new MembershipEvent.Deregister()));
        mZone.at(25_000, () -> mZone.crash(crashed));
        mZone.runUntil(LAST_FAULT_AT_MILLIS);
        int steps = mZone.steps() - mFirstStep;
        mZone.runUntil(HEALED_AT_MILLIS);
        mZone.mBlockedLinks.clear();
        mZone.mHostsWithoutPlatform.clear();
        mZone.mPlatformDown = false;
        mZone.mStaleReads = false;
        mZone.mWriteAnswersToLose = 0;
        mZone.runUntil(HEALED_AT_MILLIS + 25_000);
        declareDeadProcesses();
        mZone.runUntil(END_MILLIS);
        return steps;
    }

    // Only an operator's declaration can end the wait for voters that never return.
    private void declareDeadProcesses() {
        for (SimulatedProcess dead : mZone.mProcesses) {
            if (dead.mState == State.DEAD || dead.mDeregistered) {
                MemberId id = dead.mSelf.id();
                for (SimulatedProcess process : mZone.mProcesses) {
                    mZone.deliver(process, new MembershipEvent.DeclaredDead(id));
                }
            }
        }
    }

    private void inject(Fault fault, SimulatedProcess process) {
        String host = process.mSelf.host();
        long now = mZone.time();
        switch (fault) {
            case CRASH -> mZone.crash(process);
            case RESTART -> {
                mZone.crash(process);
                mZone.at(now + 1500, () -> mZone.start(host, process.mSelf.peerAddress()));
            }
            case REPLACE -> {
                mZone.crash(process);
                mZone.at(now + 3000, () -> mZone.start(host));
            }
            case PAUSE -> mZone.pause(process, 20_000);
            case SHORT_PAUSE -> mZone.pause(process, 5_700);
            case PAUSE_BEFORE_ANSWERS -> process.mPauseAfterHeartbeat = true;
            case PARTITION -> {
                partition(host, true, true);
                mZone.at(now + 20_000, mZone.mBlockedLinks::clear);
            }
            case PARTITION_OUTBOUND -> {
                partition(host, true, false);
                mZone.at(now + 20_000, mZone.mBlockedLinks::clear);
            }
            case PARTITION_INBOUND -> {
                partition(host, false, true);
                mZone.at(now + 20_000, mZone.mBlockedLinks::clear);
            }
            case PLATFORM_OUTAGE -> {
                mZone.mPlatformDown = true;
                mZone.at(now + 20_000, () -> mZone.mPlatformDown = false);
            }
            case PARTITION_FROM_PLATFORM -> mZone.mHostsWithoutPlatform.add(host);
            case LOST_WRITE_ANSWER -> mZone.mWriteAnswersToLose += 2;
            case STALE_READS -> {
                mZone.mStaleReads = true;
                mZone.at(now + 20_000, () -> mZone.mStaleReads = false);
            }
            default -> throw new AssertionError(fault);
        }
    }

    private void partition(String host, boolean outbound, boolean inbound) {
        for (String other : List.of("a", "b", "c", "d", "e")) {
            if (!other.equals(host)) {
                if (outbound) {
                    mZone.mBlockedLinks.add(host + ">" + other);
                }
                if (inbound) {
                    mZone.mBlockedLinks.add(other + ">" + host);
                }
            }
        }
    }
}
