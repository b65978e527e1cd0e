package org.redwingladder.bench;

import java.util.Arrays;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.redwingladder.routing.WorkClass;

/** Summarises the requests of one run. */
final class PolicyStats {
    private final PolicyWorld mWorld;

    PolicyStats(PolicyWorld world) {
        mWorld = world;
    }

    /** Returns the requests of a class that were sent in an interval of seconds. */
    static Predicate<PolicyRequest> sent(WorkClass workClass, double from, double to) {
        return request ->
                request.mWorkClass == workClass
                        && request.mSentNanos >= from * PolicyWorld.SECOND
                        && request.mSentNanos < to * PolicyWorld.SECOND;
    }

    /** Returns a quantile of the latency in milliseconds; no useful answer counts as a deadline. */
    double latencyMillis(double quantile, Predicate<PolicyRequest> of) {
        return quantile(quantile, of, PolicyRequest::latencyNanos);
    }

    /** Returns a quantile of the time between arrival at the queue and start, in milliseconds. */
    double waitMillis(double quantile, Predicate<PolicyRequest> of) {
        return quantile(
                quantile,
                of,
                request ->
                        request.useful()
                                ? request.mStartedNanos - request.mArrivedNanos
                                : request.mDeadlineNanos - request.mSentNanos);
    }

    private double quantile(
            double quantile, Predicate<PolicyRequest> of, ToLongFunction<PolicyRequest> value) {
        long[] values = mWorld.mRequests.stream().filter(of).mapToLong(value).toArray();
        if (values.length == 0) {
            return 0;
        }
        Arrays.sort(values);
        int index = (int) Math.ceil(quantile * values.length) - 1;
        return values[Math.max(0, index)] / 1e6;
    }

    long count(Predicate<PolicyRequest> of) {
        return mWorld.mRequests.stream().filter(of).count();
    }

    /** Returns the service time of the useful answers, in seconds of one slot. */
    double usefulWork(Predicate<PolicyRequest> of) {
        return mWorld.mRequests.stream()
                        .filter(of.and(PolicyRequest::useful))
                        .mapToDouble(request -> request.mWorkNanos)
                        .sum()
                / PolicyWorld.SECOND;
    }

    String tail(double q, Predicate<PolicyRequest> of) {
        double cut = latencyMillis(q, of);
        double[] a = new double[6];
        for (PolicyRequest r : mWorld.mRequests) {
            if (of.test(r) && r.latencyNanos() / 1e6 >= cut) {
                a[0]++;
                a[1] += (r.mArrivedNanos - r.mSentNanos) / 1e6;
                a[2] += (r.mStartedNanos - r.mArrivedNanos) / 1e6;
                a[3] += (r.mAnsweredNanos - r.mStartedNanos) / 1e6;
                a[4] += r.mWorkNanos / 1e6;
                if (r.mArrivedNanos - r.mSentNanos > 15e6) a[5]++;
            }
        }
        return String.format(
                "tail n %.0f: net-in %.1f wait %.1f service+back %.1f work %.1f far %.2f",
                a[0], a[1] / a[0], a[2] / a[0], a[3] / a[0], a[4] / a[0], a[5] / a[0]);
    }

    String reasons() {
        return mWorld.mReasons.toString();
    }

    double attemptsPerRequest() {
        return (double) mWorld.mAttempts / mWorld.mRequests.size();
    }

    /** Returns hedges and probes in percent of the requests. */
    double extraPercent() {
        return 100.0 * mWorld.mExtraRuns / mWorld.mRequests.size();
    }

    /** Returns the share of the requests that got no useful answer, in percent. */
    double failedPercent(Predicate<PolicyRequest> of) {
        return 100.0 * count(of.and(request -> !request.useful())) / Math.max(1, count(of));
    }
}
