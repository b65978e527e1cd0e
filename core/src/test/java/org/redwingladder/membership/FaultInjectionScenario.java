package org.redwingladder.membership;

import java.util.List;
import org.redwingladder.membership.SimulatedProcess.State;

/** Runs joins, a planned stop and a crash, with the given faults before the given steps. */
final class FaultInjectionScenario {
    private static final long LAST_FAULT_AT = 45_000;
    private static final long HEALED_AT = 70_000;
    private static final long END = 130_000;

    /** Names what goes wrong at a step of the protocol. */
    enum Fault {
        CRASH,
        RESTART,
        REPLACE,
        PAUSE,
        SHORT_PAUSE,
        PAUSE_WITH_ANSWERS_DUE,
        CUT_BOTH_WAYS,
        CUT_OUTWARD,
        CUT_INWARD,
        PLATFORM_DOWN,
        CUT_FROM_PLATFORM,
        LOST_ANSWER,
        STALE_READS
    }

    final ZoneSimulation mZone;
    private final List<Fault> mFaults;
    private final List<Integer> mSteps;
    private int mFormedAt = Integer.MAX_VALUE;

    FaultInjectionScenario(
            long seed,
            SimulatedProcess.Mechanism mechanism,
            List<Fault> faults,
            List<Integer> steps) {
        mZone = new ZoneSimulation(seed, mechanism);
        mFaults = faults;
        mSteps = steps;
        mZone.mHook =
                (step, process, effect) -> {
                    for (int i = 0; i < mFaults.size(); i++) {
                        if (step == mFormedAt + mSteps.get(i) && mZone.time() < LAST_FAULT_AT) {
                            inject(mFaults.get(i), process);
                        }
                    }
                };
    }

    /** Runs to the end; returns the number of steps at which a fault can be injected. */
    int run() {
        SimulatedProcess leaver = mZone.start("a");
        mZone.runUntil(2_000);
        SimulatedProcess crasher = mZone.start("b");
        mZone.start("c");
        mZone.start("d");
        mZone.runUntil(10_000);
        mFormedAt = mZone.steps();
        mZone.at(10_100, () -> mZone.start("e"));
        mZone.at(15_000, () -> mZone.deliver(leaver, new MembershipEvent.Drain()));
        mZone.at(20_000, () -> mZone.deliver(leaver, new MembershipEvent.Deregister()));
        mZone.at(25_000, () -> mZone.crash(crasher));
        mZone.runUntil(LAST_FAULT_AT);
        int steps = mZone.steps() - mFormedAt;
        mZone.runUntil(HEALED_AT);
        mZone.mCuts.clear();
        mZone.mCutFromPlatform.clear();
        mZone.mPlatformDown = false;
        mZone.mStaleReads = false;
        mZone.mAnswersToLose = 0;
        mZone.runUntil(HEALED_AT + 25_000);
        vouchForTheDead();
        mZone.runUntil(END);
        return steps;
    }

    // Only an operator can end the wait for voters that are lost for good.
    private void vouchForTheDead() {
        for (SimulatedProcess dead : mZone.mProcesses) {
            if (dead.mState == State.DEAD || dead.mLeft) {
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
            case PAUSE_WITH_ANSWERS_DUE -> process.mPauseAfterHeartbeat = true;
            case CUT_BOTH_WAYS -> {
                cut(host, true, true);
                mZone.at(now + 20_000, mZone.mCuts::clear);
            }
            case CUT_OUTWARD -> {
                cut(host, true, false);
                mZone.at(now + 20_000, mZone.mCuts::clear);
            }
            case CUT_INWARD -> {
                cut(host, false, true);
                mZone.at(now + 20_000, mZone.mCuts::clear);
            }
            case PLATFORM_DOWN -> {
                mZone.mPlatformDown = true;
                mZone.at(now + 20_000, () -> mZone.mPlatformDown = false);
            }
            case CUT_FROM_PLATFORM -> mZone.mCutFromPlatform.add(host);
            case LOST_ANSWER -> mZone.mAnswersToLose += 2;
            case STALE_READS -> {
                mZone.mStaleReads = true;
                mZone.at(now + 20_000, () -> mZone.mStaleReads = false);
            }
            default -> throw new AssertionError(fault);
        }
    }

    private void cut(String host, boolean outward, boolean inward) {
        for (String other : List.of("a", "b", "c", "d", "e")) {
            if (!other.equals(host)) {
                if (outward) {
                    mZone.mCuts.add(host + ">" + other);
                }
                if (inward) {
                    mZone.mCuts.add(other + ">" + host);
                }
            }
        }
    }
}
