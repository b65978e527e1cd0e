package org.redwingladder.request;

import java.util.concurrent.CompletableFuture;
import org.redwingladder.routing.LoadReport;

/** Learns of changes that the request path follows. Calls come from any thread. */
public interface ClusterListener {

    /** Reports that settings, caps, ownership, confirmation or readiness have changed. */
    void changed();

    /** Reports what a backend server of a site that this host owns said of its load. */
    void loadReported(String service, String backend, LoadReport report);

    /**
     * Stops a site that the view no longer names as owned. The new owner is told, and the new epoch
     * acknowledged, only when the future is complete.
     *
     * @return completes when no more requests are sent, with the number of those in flight
     */
    default CompletableFuture<Integer> stopSite(String service) {
        return CompletableFuture.completedFuture(0);
    }
}
