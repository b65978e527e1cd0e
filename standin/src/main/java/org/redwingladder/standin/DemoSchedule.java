package org.redwingladder.standin;

/**
 * The times of the scenario's events, in milliseconds after the start of the load.
 *
 * @param slowAt when some backend servers become slow
 * @param slowMillis how long they stay slow
 * @param killAt when an entry host is killed
 * @param burstAt when the burst begins
 * @param burstMillis how long the burst lasts
 * @param shutdownAt when the graceful shutdown of an entry host begins
 * @param drainAt when the drain of a backend server begins
 * @param capAt when a cap is lowered
 * @param platformDownAt when the platform becomes unavailable
 * @param platformUpAt when the platform becomes available again
 * @param loadMillis how long load is generated
 */
record DemoSchedule(
        long slowAt,
        long slowMillis,
        long killAt,
        long burstAt,
        long burstMillis,
        long shutdownAt,
        long drainAt,
        long capAt,
        long platformDownAt,
        long platformUpAt,
        long loadMillis) {
    static final DemoSchedule DEFAULT =
            new DemoSchedule(
                    3_000, 6_000, 6_000, 14_000, 5_000, 20_000, 26_000, 29_000, 34_000, 42_000,
                    47_000);
}
