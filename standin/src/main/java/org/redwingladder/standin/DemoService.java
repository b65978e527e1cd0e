package org.redwingladder.standin;

import java.util.List;

/**
 * Describes a service of the demo and its load.
 *
 * @param name the service's name
 * @param team the team that owns it
 * @param servers the number of backend servers, spread evenly over the zones
 * @param slots the slots of each backend server
 * @param connections the connections of each backend server
 * @param longPrefix the prefix of long work; empty if there is none
 * @param classes service times and answer sizes
 * @param regionRate the cap of requests a second into each region; 0 for none
 * @param regionInFlight the cap of requests in flight in each region; 0 for none
 * @param streams the load
 */
record DemoService(
        String name,
        String team,
        int servers,
        int slots,
        int connections,
        String longPrefix,
        List<BackendConfig.PathClass> classes,
        int regionRate,
        int regionInFlight,
        List<Stream> streams) {

    /**
     * Describes requests of one kind.
     *
     * @param name the stream's name
     * @param method the HTTP method
     * @param path the path
     * @param requestsPerSecond the mean rate
     * @param once whether the work must run at most once
     * @param answerBytes the size of the answer in bytes
     * @param burstFactor by what the rate is multiplied during the burst
     */
    record Stream(
            String name,
            String method,
            String path,
            int requestsPerSecond,
            boolean once,
            int answerBytes,
            int burstFactor) {}
}
