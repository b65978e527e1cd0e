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
            long confirmedUntilNanos) {
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
        call.header(
                WireHeaders.START_BY, Long.toString(startBy(inbound, time, confirmedUntilNanos)));
        if (inbound.body().length > 0) {
            call.body(inbound.body());
        }
        return caller.send(call, attempt);
    }

    private static long startBy(InboundRequest inbound, TimeSource time, long confirmedUntil) {
        long nanosLeft = confirmedUntil - time.nanos();
        long confirmedMillis =
                nanosLeft > TimeUnit.DAYS.toNanos(1)
                        ? Long.MAX_VALUE
                        : time.millis() + TimeUnit.NANOSECONDS.toMillis(nanosLeft);
        return Math.min(
                Math.min(inbound.deadlineMillis(), inbound.startByMillis()), confirmedMillis);
    }
}
