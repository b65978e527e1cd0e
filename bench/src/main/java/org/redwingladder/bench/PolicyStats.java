package org.redwingladder.bench;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
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

    /** Returns the service time of the useful answers given in an interval, in seconds. */
    double workDone(WorkClass workClass, double from, double to) {
        return mWorld.mRequests.stream()
                        .filter(r -> r.mWorkClass == workClass && r.useful())
                        .filter(r -> r.mAnsweredNanos >= from * PolicyWorld.SECOND)
                        .filter(r -> r.mAnsweredNanos < to * PolicyWorld.SECOND)
                        .mapToDouble(r -> r.mWorkNanos)
                        .sum()
                / PolicyWorld.SECOND;
    }

    /** Returns a quantile of the time until a refusal in milliseconds; NaN if there is none. */
    double refusedMillis(double quantile) {
        Predicate<PolicyRequest> refused = r -> r.mRefusedNanos >= 0;
        return count(refused) == 0
                ? Double.NaN
                : quantile(quantile, refused, r -> r.mRefusedNanos - r.mSentNanos);
    }

    /** Returns the most sends of a site in any second, as a share of its cap. */
    double worstCapUse() {
        double worst = 0;
        for (Map.Entry<Integer, List<Long>> site : mWorld.mSends.entrySet()) {
            List<Long> sends = site.getValue();
            int first = 0;
            for (int last = 0; last < sends.size(); last++) {
                while (sends.get(last) - sends.get(first) >= PolicyWorld.SECOND) {
                    first++;
                }
                double use = (last - first + 1.0) / mWorld.mCaps.get(site.getKey());
                worst = Math.max(worst, use);
            }
        }
        return worst;
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
