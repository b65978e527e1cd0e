package org.redwingladder.request;

import java.util.concurrent.CompletableFuture;
import org.redwingladder.routing.LoadReport;

/** Receives changes of the cluster state. Methods are called from any thread. */
public interface ClusterListener {

    /** Called when settings, caps, site ownership, the owner's lease or readiness have changed. */
    void changed();

    /** Called with a load report of a backend server of a site that this host owns. */
    void loadReported(String service, String backend, LoadReport report);

    /**
     * Stops dispatching for a site that this host no longer owns. Ownership is released to the new
     * owner, and the new roster epoch acknowledged, only once the returned future completes.
     *
     * @return completes once no more requests are sent, with the number of requests in flight
     */
    default CompletableFuture<Integer> stopSite(String service) {
        return CompletableFuture.completedFuture(0);
    }
}
