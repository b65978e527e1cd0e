package org.redwingladder.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.limits.AdmissionController;
import org.redwingladder.routing.AttemptKind;
import org.redwingladder.routing.AttemptResult;
import org.redwingladder.routing.DispatchAction;
import org.redwingladder.routing.LoadReport;
import org.redwingladder.routing.LoadReportSource;
import org.redwingladder.routing.SiteDispatcher;
import org.redwingladder.routing.SiteRequest;

/** Drives the dispatcher of one site, as its owner does, over fake backend servers. */
final class PolicySite {
    /** How long an ingress leaves a site alone to which it cannot connect. */
    private static final long LOST_NANOS = 5_000_000_000L;

    private final PolicyOurs mOurs;
    private final PolicyWorld mWorld;
    private final int mZone;
    private final SiteDispatcher mDispatcher;
    private final Map<Long, Run> mRuns = new HashMap<>();
    private final Map<Long, Waiting> mWaiting = new HashMap<>();
    private long mPlannedNanos = Long.MAX_VALUE;

    /** Whether the site was lost with its region. */
    boolean mLost;

    /** Holds an attempt at a backend server. */
    private static final class Run {
        private PolicyServer.@Nullable Job mJob;
        private boolean mCancelled;
    }

    /** Holds a request that the owner has taken. */
    private record Waiting(PolicyRequest request, Reply reply, long backNanos) {}

    /** Takes the end of a request: a refusal or an answer, and the wait that the owner expects. */
    interface Reply {
        void ended(DispatchAction.@Nullable Refuse refuse, long waitNanos);
    }

    PolicySite(PolicyOurs ours, int zone, AdmissionController limits) {
        mOurs = ours;
        mWorld = ours.mWorld;
        mZone = zone;
        mDispatcher =
                SiteDispatcher.create(
                        ours.config(zone, mWorld.mServers),
                        ours.mOptions.tuning(),
                        limits,
                        new Random(mWorld.mSeed + 100 + zone),
                        0);
    }

    void offer(PolicyRequest request, SiteRequest offered, long patienceNanos, Reply reply) {
        if (mLost) {
            long until = mWorld.now() + LOST_NANOS;
            reply.ended(
                    new DispatchAction.Refuse(
                            offered, RefusalReason.PEER_LOST, Outcome.NOT_RUN, until),
                    LOST_NANOS);
            return;
        }
        long back =
                mWorld.mDeployment.delayNanos(request.mZone, mZone) + PolicyDeployment.CLIENT_NANOS;
        mWaiting.put(request.mId, new Waiting(request, reply, back));
        if (request.mArrivedNanos < 0) {
            // What a request loses on its way to a second site counts as wait too.
            request.mArrivedNanos = mWorld.now();
        }
        carryOut(mDispatcher.offer(offered, patienceNanos, mWorld.now()));
        pump();
    }

    /** Follows a change of the site's backend servers. */
    void configure(List<PolicyServer> servers) {
        mDispatcher.configure(mOurs.config(mZone, servers), mWorld.now());
        pump();
    }

    void reported(PolicyServer server, LoadReport report) {
        mDispatcher.loadReported(
                server.mName, report, LoadReportSource.LOAD_ENDPOINT, mWorld.now());
    }

    private void pump() {
        carryOut(mDispatcher.dispatch(mWorld.now()));
        long wake = mDispatcher.nextTickNanos();
        if (wake < mPlannedNanos) {
            mPlannedNanos = wake;
            mWorld.mEvents.at(wake, () -> tick(wake));
        }
    }

    private void tick(long planned) {
        if (planned != mPlannedNanos) {
            return;
        }
        mPlannedNanos = Long.MAX_VALUE;
        carryOut(mDispatcher.tick(mWorld.now()));
        pump();
    }

    private void carryOut(List<DispatchAction> actions) {
        for (DispatchAction action : actions) {
            switch (action) {
                case DispatchAction.Send send -> send(send);
                case DispatchAction.Deliver deliver -> {
                    Waiting waiting = mWaiting.remove(deliver.request().id());
                    mWorld.answered(waiting.request(), waiting.backNanos());
                    waiting.reply().ended(null, waitNanos(waiting));
                }
                case DispatchAction.Refuse refuse -> {
                    Waiting waiting = mWaiting.remove(refuse.request().id());
                    waiting.reply().ended(refuse, waitNanos(waiting));
                }
                case DispatchAction.Cancel cancel -> {
                    Run run = mRuns.remove(cancel.attempt());
                    mWorld.mEvents.after(PolicyDeployment.LOCAL_NANOS, () -> cancel(run));
                }
            }
        }
    }

    private long waitNanos(Waiting waiting) {
        return mDispatcher.expectedWaitNanos(waiting.request().mWorkClass, mWorld.now());
    }

    private static void cancel(Run run) {
        run.mCancelled = true;
        if (run.mJob != null) {
            run.mJob.cancel();
        }
    }

    private void send(DispatchAction.Send send) {
        PolicyRequest request = mWaiting.get(send.request().id()).request();
        if (send.kind() == AttemptKind.PRIMARY) {
            request.mStartedNanos = mWorld.now();
        } else {
            mWorld.mExtraRuns++;
        }
        if (mWorld.mCaps.containsKey(mZone)) {
            mWorld.mSends.computeIfAbsent(mZone, z -> new ArrayList<>()).add(mWorld.now());
        }
        PolicyServer server = server(send.backend());
        Run run = new Run();
        mRuns.put(send.attempt(), run);
        mWorld.mEvents.after(
                PolicyDeployment.LOCAL_NANOS,
                () -> {
                    if (!run.mCancelled) {
                        run.mJob =
                                server.submit(request.mWorkNanos, () -> finished(send.attempt()));
                    }
                });
    }

    private void finished(long attempt) {
        mWorld.mEvents.after(
                PolicyDeployment.LOCAL_NANOS,
                () -> {
                    if (mRuns.remove(attempt) != null) {
                        carryOut(
                                mDispatcher.attemptEnded(
                                        attempt, AttemptResult.ANSWERED, mWorld.now()));
                        pump();
                    }
                });
    }

    private PolicyServer server(String name) {
        for (PolicyServer server : mWorld.mServers) {
            if (server.mName.equals(name)) {
                return server;
            }
        }
        throw new IllegalStateException("unknown backend server " + name);
    }
}
