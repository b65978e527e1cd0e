package org.redwingladder.request;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.redwingladder.http.Call;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.HttpCaller;

/** Makes the call of an attempt at a backend server. */
final class BackendCall {
    private BackendCall() {}

    static Call send(
            HttpCaller caller,
            TimeSource time,
            SiteSpec spec,
            BackendAttempt attempt,
            long ownerLeaseExpiryNanos) {
        InboundRequest inbound = attempt.request().inbound();
        InetSocketAddress address = spec.addresses().get(attempt.backend());
        if (address == null) {
            throw new IllegalStateException("no address of backend server " + attempt.backend());
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
     * Returns the last instant at which the work may start, in epoch milliseconds.
     *
     * @param latestMillis the last instant if the confirmation lasts longer
     */
    static long startBy(long latestMillis, TimeSource time, long ownerLeaseExpiryNanos) {
        // A pause between the two readings must make the result earlier, so the wall clock is
        // first.
        long nowMillis = time.millis();
        long nanosLeft = ownerLeaseExpiryNanos - time.nanos();
        return nanosLeft > TimeUnit.DAYS.toNanos(1)
                ? latestMillis
                : Math.min(latestMillis, nowMillis + TimeUnit.NANOSECONDS.toMillis(nanosLeft));
    }
}
