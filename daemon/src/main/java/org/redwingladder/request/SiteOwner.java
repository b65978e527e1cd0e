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
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.Call;
import org.redwingladder.http.CallException;
import org.redwingladder.http.StreamedResponse;
import org.redwingladder.limits.AdmissionController;
import org.redwingladder.limits.LinkPacer;
import org.redwingladder.routing.AttemptKind;
import org.redwingladder.routing.AttemptResult;
import org.redwingladder.routing.DispatchAction;
import org.redwingladder.routing.LoadReport;
import org.redwingladder.routing.LoadReportSource;
import org.redwingladder.routing.SiteDispatcher;
import org.redwingladder.routing.SiteRequest;
import org.redwingladder.routing.SiteStatus;
import org.xnio.XnioExecutor;

/**
 * Dispatches the requests of one site that this host owns to the site's backend servers.
 *
 * <p>Executes the actions of the site's {@link SiteDispatcher} and reports their results to it. All
 * state is confined to a serial executor. The owner's lease is checked before each send.
 */
final class SiteOwner {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** The lease is renewed by one round of heartbeats, so a retry soon after succeeds. */
    private static final long NO_LEASE_RETRY_MILLIS = 1000;

    private final SerialExecutor mExecutor = new SerialExecutor();
    private final ClusterView mView;
    private final AsyncHttpClient mCaller;
    private final TimeSource mTime;
    private final RequestMetrics mMetrics;
    private final SiteDispatcher mDispatcher;
    private final Map<Long, PendingRequest> mPendingRequests = new HashMap<>();
    private final Map<Long, BackendAttempt> mAttempts = new HashMap<>();
    private SiteSpec mSpec;
    private long mNextRequestId;
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
        AdmissionController limits =
                AdmissionController.create(
                        spec.regionOfZone(), spec.caps(), spec.bitsPerSecondByRegion(), now);
        spec.carryOver(limits);
        mDispatcher = SiteDispatcher.create(spec.config(), limits, context.random(), now);
    }

    /** Runs a task on the serial executor. */
    void run(Runnable task) {
        mExecutor.execute(task);
    }

    /**
     * Submits a request. It is queued, sent to a backend server or refused.
     *
     * @param maxWaitNanos the longest acceptable queueing delay; the request is refused if it is
     *     expected to wait longer
     * @return cancels the request, because its client has disconnected
     */
    Runnable submit(
            InboundRequest inbound, long maxWaitNanos, ResponseSink sink, RoutingTrace trace) {
        PendingRequest[] submitted = new PendingRequest[1];
        run(() -> submitted[0] = doSubmit(inbound, maxWaitNanos, sink, trace));
        return () -> run(() -> doCancel(submitted[0]));
    }

    /** Applies the site's configuration of another settings version. */
    void configure(SiteSpec spec) {
        run(
                () -> {
                    long now = mTime.nanos();
                    mSpec = spec;
                    mDispatcher.limits().update(spec.caps(), spec.bitsPerSecondByRegion(), now);
                    spec.carryOver(mDispatcher.limits());
                    mDispatcher.configure(spec.config(), now);
                    dispatch();
                });
    }

    /**
     * Refuses queued and new requests. Requests in flight continue.
     *
     * @param inFlight is completed, once no more requests are sent, with the number of attempts
     *     that may still be running
     */
    void stop(CompletableFuture<Integer> inFlight) {
        run(
                () -> {
                    mStopped = true;
                    apply(mDispatcher.refuseQueued(RefusalReason.NOT_OWNER, 0, mTime.nanos()));
                    inFlight.complete(mDispatcher.possiblyRunning(mTime.nanos()));
                });
    }

    /** Passes on a load report that was read from a backend server's load endpoint. */
    void loadReported(String backend, LoadReport report) {
        run(
                () -> {
                    mDispatcher.loadReported(
                            backend, report, LoadReportSource.LOAD_ENDPOINT, mTime.nanos());
                    dispatch();
                });
    }

    /** Calls {@code receiver} with the dispatcher's status. */
    void status(java.util.function.Consumer<SiteStatus> receiver) {
        run(() -> receiver.accept(mDispatcher.status(mTime.nanos())));
    }

    private @Nullable PendingRequest doSubmit(
            InboundRequest inbound, long maxWaitNanos, ResponseSink sink, RoutingTrace trace) {
        long now = mTime.nanos();
        if (mStopped) {
            sink.refused(
                    Refusal.notRun(
                            RefusalReason.NOT_OWNER, 0, "the site has moved to another owner"));
            return null;
        }
        if (leaseExpired(now)) {
            sink.refused(leaseExpiredRefusal());
            return null;
        }
        SiteRequest siteRequest =
                new SiteRequest(
                        mNextRequestId++,
                        inbound.fromZone(),
                        inbound.classKey(),
                        inbound.configuredClass(),
                        inbound.deadlineNanos(),
                        inbound.idempotent());
        PendingRequest request = new PendingRequest(inbound, siteRequest, sink, trace);
        mPendingRequests.put(siteRequest.id(), request);
        apply(mDispatcher.offer(siteRequest, maxWaitNanos, now));
        dispatch();
        return request;
    }

    private void doCancel(@Nullable PendingRequest request) {
        if (request != null && request.tryComplete()) {
            mPendingRequests.remove(request.siteRequest().id());
            apply(mDispatcher.requestCancelled(request.siteRequest().id(), mTime.nanos()));
            dispatch();
        }
    }

    private boolean leaseExpired(long nowNanos) {
        return mView.ownerLeaseExpiryNanos(mSpec.config().service()) - nowNanos <= 0;
    }

    private Refusal leaseExpiredRefusal() {
        return Refusal.notRun(
                RefusalReason.NOT_CONFIRMED,
                mTime.millis() + NO_LEASE_RETRY_MILLIS,
                "the owner's lease has expired: its zone has not confirmed it");
    }

    /** Sends the requests that can be sent now, and schedules the dispatcher's next timer. */
    void dispatch() {
        long now = mTime.nanos();
        if (leaseExpired(now)) {
            long retryAt = now + TimeUnit.MILLISECONDS.toNanos(NO_LEASE_RETRY_MILLIS);
            apply(mDispatcher.refuseQueued(RefusalReason.NOT_CONFIRMED, retryAt, now));
        } else {
            apply(mDispatcher.dispatch(now));
        }
        scheduleTimer(mDispatcher.nextTickNanos(), now);
    }

    private void scheduleTimer(long atNanos, long nowNanos) {
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
                                () -> run(this::timerExpired),
                                Math.max(0, atNanos - nowNanos),
                                TimeUnit.NANOSECONDS);
    }

    private void timerExpired() {
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
        PendingRequest request = mPendingRequests.get(send.request().id());
        if (request == null) {
            // The request may complete before its probe is sent; then there is nothing to send.
            mDispatcher.attemptEnded(send.attempt(), AttemptResult.SHED, mTime.nanos());
            return;
        }
        BackendAttempt attempt = new BackendAttempt(this, request, send.attempt(), send.backend());
        mAttempts.put(send.attempt(), attempt);
        if (send.kind() == AttemptKind.HEDGE) {
            mMetrics.hedge();
        }
        request.trace().add(mTime.millis(), send.backend(), "sent as " + send.kind());
        long now = mTime.nanos();
        long leaseExpiryNanos = mView.ownerLeaseExpiryNanos(mSpec.config().service());
        if (leaseExpiryNanos - now <= 0) {
            abortSend(attempt);
            return;
        }
        attempt.call(BackendCall.send(mCaller, mTime, mSpec, attempt, leaseExpiryNanos));
    }

    /** Cancels an attempt that was not sent, because the owner's lease has expired. */
    private void abortSend(BackendAttempt attempt) {
        mAttempts.remove(attempt.number());
        PendingRequest request = attempt.request();
        run(
                () -> {
                    if (request.tryComplete()) {
                        mPendingRequests.remove(request.siteRequest().id());
                        request.sink().refused(leaseExpiredRefusal());
                    }
                    apply(mDispatcher.requestCancelled(request.siteRequest().id(), mTime.nanos()));
                });
    }

    private void deliver(DispatchAction.Deliver deliver) {
        PendingRequest request = mPendingRequests.remove(deliver.request().id());
        BackendAttempt attempt = mAttempts.get(deliver.attempt());
        if (request == null || attempt == null || !request.tryComplete()) {
            return;
        }
        request.reportExpectedWait(mDispatcher, mTime.nanos());
        StreamedResponse streamed = attempt.streamedAnswer();
        if (streamed != null) {
            request.sink().streamed(streamed, attempt.backend(), transfer(attempt));
            return;
        }
        BufferedResponse whole = attempt.wholeAnswer();
        if (whole == null) {
            throw new IllegalStateException("the attempt to deliver has no response");
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
        StreamedResponse.TransferHandler handler =
                new StreamedResponse.TransferHandler() {
                    @Override
                    public void transferred(long bytes) {
                        run(() -> completed(attempt, AttemptResult.ANSWERED));
                    }

                    @Override
                    public void failed(CallException cause) {
                        run(() -> completed(attempt, BackendAttempt.resultOf(cause)));
                    }
                };
        return new ResponseSink.Transfer(pacer(attempt.request().inbound().fromZone()), handler);
    }

    private void refuse(DispatchAction.Refuse refuse) {
        PendingRequest request = mPendingRequests.remove(refuse.request().id());
        if (request == null || !request.tryComplete()) {
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
                                "refused by the site owner: " + refuse.reason().wireName()));
    }

    private void cancel(DispatchAction.Cancel cancel) {
        BackendAttempt attempt = mAttempts.remove(cancel.attempt());
        Call call = attempt == null ? null : attempt.call();
        if (call != null) {
            call.cancel();
        }
    }

    /** Handles a buffered response. */
    void answered(BackendAttempt attempt, int status, HeaderMap headers) {
        if (!mAttempts.containsKey(attempt.number())) {
            return;
        }
        recordLoadReport(attempt.backend(), headers);
        boolean shed = BackendAttempt.isShed(status, headers);
        completed(attempt, shed ? AttemptResult.SHED : AttemptResult.ANSWERED);
    }

    /** Handles the head of a streamed response. */
    void answerBegan(BackendAttempt attempt, StreamedResponse answer) {
        if (!mAttempts.containsKey(attempt.number())) {
            answer.discard(transfer(attempt).handler());
            return;
        }
        recordLoadReport(attempt.backend(), answer.headers());
        apply(mDispatcher.responseStarted(attempt.number(), mTime.nanos()));
    }

    /** Handles the failure of an attempt's call. */
    void failed(BackendAttempt attempt, CallException cause) {
        attempt.request().trace().add(mTime.millis(), attempt.backend(), cause.getMessage());
        completed(attempt, BackendAttempt.resultOf(cause));
    }

    private void completed(BackendAttempt attempt, AttemptResult result) {
        if (!mAttempts.containsKey(attempt.number())) {
            return;
        }
        apply(mDispatcher.attemptEnded(attempt.number(), result, mTime.nanos()));
        mAttempts.remove(attempt.number());
        dispatch();
    }

    private void recordLoadReport(String backend, HeaderMap headers) {
        LoadReport report = LoadReportParser.parse(headers);
        if (report != null) {
            mDispatcher.loadReported(
                    backend, report, LoadReportSource.RESPONSE_HEADER, mTime.nanos());
        }
    }

    /** Returns the pacer of responses to a zone; all responses to the zone share its bit rate. */
    private StreamedResponse.Pacer pacer(String zone) {
        return bytes -> {
            synchronized (mExecutor) {
                LinkPacer pacer = mDispatcher.limits().pacerTo(zone);
                return pacer == null ? 0 : reserve(pacer, bytes);
            }
        };
    }

    /** Reserves capacity for {@code bytes}; returns the delay until the last chunk may be sent. */
    private long reserve(LinkPacer pacer, int bytes) {
        long now = mTime.nanos();
        long sendAt = now;
        for (long remaining = bytes; remaining > 0; remaining -= pacer.maxChunkBytes()) {
            sendAt = pacer.reserve(Math.min(remaining, pacer.maxChunkBytes()), now);
        }
        return sendAt - now;
    }

    void logStart() {
        LOG.atInfo().log("dispatch: started the site of service %s", mSpec.config().service());
    }
}
