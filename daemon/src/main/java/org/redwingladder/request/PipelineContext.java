package org.redwingladder.request;

import java.util.random.RandomGenerator;
import org.redwingladder.http.HttpCaller;

/**
 * Holds what the parts of the request pipeline share.
 *
 * @param view the state of the cluster
 * @param caller makes calls to peers and backend servers
 * @param time the clocks
 * @param metrics the counters
 * @param traces the latest requests
 * @param random breaks ties
 */
record PipelineContext(
        ClusterView view,
        HttpCaller caller,
        TimeSource time,
        RequestMetrics metrics,
        RoutingTraceBuffer traces,
        RandomGenerator random) {}
