package org.redwingladder.request;

import com.google.common.flogger.FluentLogger;
import io.undertow.util.HeaderMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.http.Call;
import org.redwingladder.http.CallException;
import org.redwingladder.http.HttpCaller;
import org.redwingladder.http.StreamedAnswer;
import org.redwingladder.http.WholeAnswer;
import org.redwingladder.limits.BitPacer;
import org.redwingladder.limits.SiteLimits;
import org.redwingladder.routing.AttemptKind;
import org.redwingladder.routing.AttemptResult;
import org.redwingladder.routing.DispatchAction;
import org.redwingladder.routing.LoadReport;
import org.redwingladder.routing.ReportSource;
import org.redwingladder.routing.SiteDispatcher;
import org.redwingladder.routing.SiteRequest;
import org.redwingladder.routing.SiteStatus;
import org.xnio.XnioExecutor;

/**
 * Drives the dispatcher of one site that this host owns.
 *
 * <p>All steps run one at a time in a serial queue. Before each send the clock is compared with the
 * owner's confirmation.
 */
final class SiteOwner {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Comes back soon after a confirmation, which takes one round of heartbeats. */
    private static final long UNCONFIRMED_RETRY_MILLIS = 1000;

    private final SerialExecutor mExecutor = new SerialExecutor();
    private final ClusterView mView;
    private final HttpCaller mCaller;
    private final TimeSource mTime;
    private final RequestMetrics mMetrics;
    private final SiteDispatcher mDispatcher;
    private final Map<Long, PendingRequest> mRequests = new HashMap<>();
    private final Map<Long, BackendAttempt> mAttempts = new HashMap<>();
    private SiteSpec mSpec;
    private long mNextId;
    private boolean mStopped;
    private XnioExecutor.@Nullable Key mTimer;
    private long mTimerAtNanos = Long.MAX_VALUE;

    SiteOwner(SiteSpec spec, PipelineContext context) {
        mSpec = spec;
        mView = context.view();
        mCaller = context.caller();
        mTime = context.time();
        mMetrics = context.metrics();
        long now = mTime.nanos();
        SiteLimits limits =
                SiteLimits.create(
                        spec.regionOfZone(), spec.caps(), spec.bitsPerSecondByRegion(), now);
        spec.carryOver(limits);
        mDispatcher = SiteDispatcher.create(spec.config(), limits, context.random(), now);
    }

    void run(Runnable step) {
        mExecutor.execute(step);
    }

    /** Takes a request; the returned step tells the owner that the client has gone. */
    Runnable offer(
            InboundRequest inbound, long patience, ResponseSink sink, RoutingTrace trace) {
        PendingRequest[] owned = new PendingRequest[1];
        run(() -> owned[0] = offerInQueue(inbound, patience, sink, trace));
        return () -> run(() -> cancelInQueue(owned[0]));
    }

    /** Follows another settings version. */
    void configure(SiteSpec spec) {
        run(
                () -> {
                    long now = mTime.nanos();
                    mSpec = spec;
                    mDispatcher.limits().change(spec.caps(), spec.bitsPerSecondByRegion(), now);
                    spec.carryOver(mDispatcher.limits());
                    mDispatcher.configure(spec.config(), now);
                    dispatch();
                });
    }

    /**
     * Refuses what waits and takes nothing more; what is in flight goes on.
     *
     * @param inFlight completes with the number of attempts that may still run, when nothing more
     *     is sent
     */
    void stop(CompletableFuture<Integer> inFlight) {
        run(
                () -> {
                    mStopped = true;
                    apply(mDispatcher.refuseQueued(RefusalReason.NOT_OWNER, 0, mTime.nanos()));
                    inFlight.complete(mDispatcher.mayRun(mTime.nanos()));
                });
    }

    void loadReported(String backend, LoadReport report) {
        run(
                () -> {
                    mDispatcher.reported(
                            backend, report, ReportSource.LOAD_ENDPOINT, mTime.nanos());
                    dispatch();
                });
    }

    /** Calls {@code receiver} with the dispatcher's figures. */
    void status(java.util.function.Consumer<SiteStatus> receiver) {
        run(() -> receiver.accept(mDispatcher.status(mTime.nanos())));
    }

    private @Nullable PendingRequest offerInQueue(
            InboundRequest inbound, long patience, ResponseSink sink, RoutingTrace trace) {
        long now = mTime.nanos();
        if (mStopped) {
            sink.refused(Refusal.notRun(RefusalReason.NOT_OWNER, 0, "the site has moved"));
            return null;
        }
        if (unconfirmed(now)) {
            sink.refused(notConfirmed());
            return null;
        }
        SiteRequest siteRequest =
                new SiteRequest(
                        mNextId++,
                        inbound.fromZone(),
                        inbound.classKey(),
                        inbound.configuredClass(),
                        inbound.deadlineNanos(),
                        inbound.idempotent());
        PendingRequest request = new PendingRequest(inbound, siteRequest, sink, trace);
        mRequests.put(siteRequest.id(), request);
        apply(mDispatcher.offer(siteRequest, patience, now));
        dispatch();
        return request;
    }

    private void cancelInQueue(@Nullable PendingRequest request) {
        if (request != null && request.decide()) {
            mRequests.remove(request.siteRequest().id());
            apply(mDispatcher.cancelled(request.siteRequest().id(), mTime.nanos()));
            dispatch();
        }
    }

    private boolean unconfirmed(long nowNanos) {
        return mView.ownerLeaseExpiryNanos(mSpec.config().service()) - nowNanos <= 0;
    }

    private Refusal notConfirmed() {
        return Refusal.notRun(
                RefusalReason.NOT_CONFIRMED,
                mTime.millis() + UNCONFIRMED_RETRY_MILLIS,
                "the owner is not confirmed by its zone");
    }

    /** Sends what can be sent, and arranges to be woken. */
    void dispatch() {
        long now = mTime.nanos();
        if (unconfirmed(now)) {
            long retryAt = now + TimeUnit.MILLISECONDS.toNanos(UNCONFIRMED_RETRY_MILLIS);
            apply(mDispatcher.refuseQueued(RefusalReason.NOT_CONFIRMED, retryAt, now));
        } else {
            apply(mDispatcher.next(now));
        }
        wakeAt(mDispatcher.wakeAtNanos(), now);
    }

    private void wakeAt(long atNanos, long nowNanos) {
        if (atNanos == Long.MAX_VALUE || atNanos >= mTimerAtNanos) {
            return;
        }
        if (mTimer != null) {
            mTimer.remove();
        }
        mTimerAtNanos = atNanos;
        mTimer =
                mCaller.worker()
                        .getIoThread()
                        .executeAfter(
                                () -> run(this::wake),
                                Math.max(0, atNanos - nowNanos),
                                TimeUnit.NANOSECONDS);
    }

    private void wake() {
        mTimer = null;
        mTimerAtNanos = Long.MAX_VALUE;
        apply(mDispatcher.tick(mTime.nanos()));
        dispatch();
    }

    private void apply(List<DispatchAction> actions) {
        for (DispatchAction action : actions) {
            switch (action) {
                case DispatchAction.Send send -> send(send);
                case DispatchAction.Deliver deliver -> deliver(deliver);
                case DispatchAction.Refuse refuse -> refuse(refuse);
                case DispatchAction.Cancel cancel -> cancel(cancel);
            }
        }
    }

    private void send(DispatchAction.Send send) {
        PendingRequest request = mRequests.get(send.request().id());
        if (request == null) {
            // A probe may outlive its request; without the request there is nothing to send.
            mDispatcher.completed(send.attempt(), AttemptResult.SHED, mTime.nanos());
            return;
        }
        BackendAttempt attempt = new BackendAttempt(this, request, send.attempt(), send.backend());
        mAttempts.put(send.attempt(), attempt);
        if (send.kind() == AttemptKind.HEDGE) {
            mMetrics.hedge();
        }
        request.trace().add(mTime.millis(), send.backend(), "sent as " + send.kind());
        long now = mTime.nanos();
        long confirmedUntil = mView.ownerLeaseExpiryNanos(mSpec.config().service());
        if (confirmedUntil - now <= 0) {
            unsent(attempt);
            return;
        }
        attempt.call(BackendCall.send(mCaller, mTime, mSpec, attempt, confirmedUntil));
    }

    /** Takes back a send that the owner may no longer make. */
    private void unsent(BackendAttempt attempt) {
        mAttempts.remove(attempt.number());
        PendingRequest request = attempt.request();
        run(
                () -> {
                    if (request.decide()) {
                        mRequests.remove(request.siteRequest().id());
                        request.sink().refused(notConfirmed());
                    }
                    apply(mDispatcher.cancelled(request.siteRequest().id(), mTime.nanos()));
                });
    }

    private void deliver(DispatchAction.Deliver deliver) {
        PendingRequest request = mRequests.remove(deliver.request().id());
        BackendAttempt attempt = mAttempts.get(deliver.attempt());
        if (request == null || attempt == null || !request.decide()) {
            return;
        }
        request.reportExpectedWait(mDispatcher, mTime.nanos());
        StreamedAnswer streamed = attempt.streamedAnswer();
        if (streamed != null) {
            request.sink().streamed(streamed, attempt.backend(), transfer(attempt));
            return;
        }
        WholeAnswer whole = attempt.wholeAnswer();
        if (whole == null) {
            throw new IllegalStateException("nothing to deliver");
        }
        long delay =
                whole.body().length == 0
                        ? 0
                        : pacer(request.inbound().fromZone()).delayNanos(whole.body().length);
        if (delay <= 0) {
            request.sink().whole(whole, attempt.backend());
        } else {
            mCaller.worker()
                    .getIoThread()
                    .executeAfter(
                            () -> request.sink().whole(whole, attempt.backend()),
                            delay,
                            TimeUnit.NANOSECONDS);
        }
    }

    private ResponseSink.Transfer transfer(BackendAttempt attempt) {
        StreamedAnswer.TransferHandler handler =
                new StreamedAnswer.TransferHandler() {
                    @Override
                    public void transferred(long bytes) {
                        run(() -> ended(attempt, AttemptResult.ANSWERED));
                    }

                    @Override
                    public void failed(CallException cause) {
                        run(() -> ended(attempt, BackendAttempt.resultOf(cause)));
                    }
                };
        return new ResponseSink.Transfer(pacer(attempt.request().inbound().fromZone()), handler);
    }

    private void refuse(DispatchAction.Refuse refuse) {
        PendingRequest request = mRequests.remove(refuse.request().id());
        if (request == null || !request.decide()) {
            return;
        }
        request.reportExpectedWait(mDispatcher, mTime.nanos());
        long retryAt = refuse.retryAtNanos() == 0 ? 0 : mTime.toMillis(refuse.retryAtNanos());
        request.sink()
                .refused(
                        new Refusal(
                                refuse.reason(),
                                refuse.outcome(),
                                retryAt,
                                "refused by the owner: " + refuse.reason().wireName()));
    }

    private void cancel(DispatchAction.Cancel cancel) {
        BackendAttempt attempt = mAttempts.remove(cancel.attempt());
        Call call = attempt == null ? null : attempt.call();
        if (call != null) {
            call.cancel();
        }
    }

    /** Takes a whole answer. */
    void answered(BackendAttempt attempt, int status, HeaderMap headers) {
        if (!mAttempts.containsKey(attempt.number())) {
            return;
        }
        report(attempt.backend(), headers);
        boolean shed = BackendAttempt.isShed(status, headers);
        ended(attempt, shed ? AttemptResult.SHED : AttemptResult.ANSWERED);
    }

    /** Takes the head of a long answer. */
    void answerBegan(BackendAttempt attempt, StreamedAnswer answer) {
        if (!mAttempts.containsKey(attempt.number())) {
            answer.discard(transfer(attempt).handler());
            return;
        }
        report(attempt.backend(), answer.headers());
        apply(mDispatcher.answerBegan(attempt.number(), mTime.nanos()));
    }

    void failed(BackendAttempt attempt, CallException cause) {
        attempt.request().trace().add(mTime.millis(), attempt.backend(), cause.getMessage());
        ended(attempt, BackendAttempt.resultOf(cause));
    }

    private void ended(BackendAttempt attempt, AttemptResult result) {
        if (!mAttempts.containsKey(attempt.number())) {
            return;
        }
        apply(mDispatcher.completed(attempt.number(), result, mTime.nanos()));
        mAttempts.remove(attempt.number());
        dispatch();
    }

    private void report(String backend, HeaderMap headers) {
        LoadReport report = LoadReportParser.parse(headers);
        if (report != null) {
            mDispatcher.reported(backend, report, ReportSource.ANSWER_HEADER, mTime.nanos());
        }
    }

    /** Returns the pacer of answers to a zone, which is shared by all its answers. */
    private StreamedAnswer.Pacer pacer(String zone) {
        return bytes -> {
            synchronized (mExecutor) {
                BitPacer pacer = mDispatcher.limits().pacerTo(zone);
                return pacer == null ? 0 : reserve(pacer, bytes);
            }
        };
    }

    private long reserve(BitPacer pacer, int bytes) {
        long now = mTime.nanos();
        long sendAt = now;
        for (long left = bytes; left > 0; left -= pacer.maxChunkBytes()) {
            sendAt = pacer.reserve(Math.min(left, pacer.maxChunkBytes()), now);
        }
        return sendAt - now;
    }

    void logStart() {
        LOG.atInfo().log("dispatch: started site %s", mSpec.config().service());
    }
}
