package org.redwingladder.request;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.Call;
import org.redwingladder.http.CallRequest;

/** Sends the HTTP request of an attempt to its backend server. */
final class BackendCall {
    private BackendCall() {}

    /**
     * Sends a request, with its deadline and the latest start time of the work in the headers.
     *
     * @param ownerLeaseExpiryNanos when the lease of this site owner expires, on the monotonic
     *     clock
     * @throws IllegalStateException if the attempt's backend server has no address in {@code spec}
     */
    static Call send(
            AsyncHttpClient caller,
            TimeSource time,
            SiteSpec spec,
            BackendAttempt attempt,
            long ownerLeaseExpiryNanos) {
        InboundRequest inbound = attempt.request().inbound();
        InetSocketAddress address = spec.addresses().get(attempt.backend());
        if (address == null) {
            throw new IllegalStateException("no address for backend server " + attempt.backend());
        }
        CallRequest call =
                CallRequest.of(inbound.method(), address, inbound.path(), inbound.deadlineNanos());
        WireHeaders.copyEndToEnd(inbound.exchange().getRequestHeaders(), call.headers());
        call.headers().remove(WireHeaders.TOKEN);
        call.headers().remove(WireHeaders.IDEMPOTENCY_KEY);
        call.requestId(inbound.requestId());
        call.header(WireHeaders.DEADLINE, Long.toString(inbound.deadlineMillis()));
        long latestMillis = Math.min(inbound.deadlineMillis(), inbound.startByMillis());
        long startBy = startBy(latestMillis, time, ownerLeaseExpiryNanos);
        call.header(WireHeaders.START_BY, Long.toString(startBy));
        if (inbound.body().length > 0) {
            call.body(inbound.body());
        }
        return caller.send(call, attempt);
    }

    /**
     * Returns the latest time at which the work may start, in epoch milliseconds.
     *
     * @param latestMillis the bound that applies if the lease expires later, in epoch milliseconds
     */
    static long startBy(long latestMillis, TimeSource time, long ownerLeaseExpiryNanos) {
        // The wall clock is read first, so that a process pause between the two readings makes the
        // result earlier and never later than the lease's expiry.
        long nowMillis = time.millis();
        long leaseLeftNanos = ownerLeaseExpiryNanos - time.nanos();
        return leaseLeftNanos > TimeUnit.DAYS.toNanos(1)
                ? latestMillis
                : Math.min(latestMillis, nowMillis + TimeUnit.NANOSECONDS.toMillis(leaseLeftNanos));
    }
}
