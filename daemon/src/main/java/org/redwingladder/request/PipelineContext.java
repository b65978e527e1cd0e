package org.redwingladder.request;

import java.util.random.RandomGenerator;
import org.redwingladder.http.AsyncHttpClient;

/**
 * The dependencies that the classes of the request pipeline share.
 *
 * @param view the cluster state
 * @param caller the HTTP client for peers and backend servers
 * @param time the clocks
 * @param metrics the metrics
 * @param traces the routing traces of the latest requests
 * @param random the source of randomness for load balancing
 */
record PipelineContext(
        ClusterView view,
        AsyncHttpClient caller,
        TimeSource time,
        RequestMetrics metrics,
        RoutingTraceBuffer traces,
        RandomGenerator random) {}
