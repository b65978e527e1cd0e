package org.redwingladder.bench;

/** Routes the requests of one run. */
interface PolicyRouter {
    /** Takes a request that has just reached its entry host. */
    void arrived(PolicyRequest request);
}
