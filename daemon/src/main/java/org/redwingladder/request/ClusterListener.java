package org.redwingladder.request;

import org.redwingladder.routing.LoadReport;

/** Learns of changes that the request path follows. Calls come from any thread. */
public interface ClusterListener {

    /** Reports that settings, caps, ownership, confirmation or readiness have changed. */
    void changed();

    /** Reports what a backend server of a site that this host owns said of its load. */
    void loadReported(String service, String backend, LoadReport report);
}
