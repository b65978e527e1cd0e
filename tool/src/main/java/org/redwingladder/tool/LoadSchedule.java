package org.redwingladder.tool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** Fixes in advance when each request of a plan arrives and from which client block. */
final class LoadSchedule {
    private static final double MILLIS = 1_000;

    private LoadSchedule() {}

    /**
     * Describes one arrival.
     *
     * @param atMicros when it arrives, in microseconds after the start
     * @param stream the number of its stream in the plan
     * @param number its number in the stream
     * @param block the client block
     */
    record Arrival(long atMicros, int stream, int number, int block) {}

    /** Returns all arrivals in the order of time; the same plan always has the same arrivals. */
    static List<Arrival> of(LoadPlan plan) {
        int[] blocks = blocks(plan);
        List<Arrival> arrivals = new ArrayList<>();
        for (int i = 0; i < plan.streams().size(); i++) {
            addStream(plan, i, blocks, arrivals);
        }
        arrivals.sort(
                Comparator.comparingLong(Arrival::atMicros)
                        .thenComparingInt(Arrival::stream)
                        .thenComparingInt(Arrival::number));
        return arrivals;
    }

    /** Adds the arrivals of a Poisson process whose rate changes, by thinning. */
    private static void addStream(LoadPlan plan, int index, int[] blocks, List<Arrival> arrivals) {
        LoadPlan.Stream stream = plan.streams().get(index);
        double highest = stream.highestRate();
        if (highest <= 0) {
            return;
        }
        Random random = new Random(plan.seed() * 31 + index);
        int number = 0;
        double millis = 0;
        while (true) {
            millis -= Math.log(1 - random.nextDouble()) / highest * MILLIS;
            if (millis >= plan.durationMillis()) {
                return;
            }
            boolean kept = random.nextDouble() * highest < stream.rateAt(millis);
            int block = blocks[random.nextInt(blocks.length)];
            if (kept) {
                arrivals.add(new Arrival((long) (millis * MILLIS), index, number++, block));
            }
        }
    }

    private static int[] blocks(LoadPlan plan) {
        Random random = new Random(plan.seed());
        int count = plan.lastBlock() - plan.firstBlock() + 1;
        int[] blocks = new int[plan.clients()];
        for (int i = 0; i < blocks.length; i++) {
            blocks[i] = plan.firstBlock() + random.nextInt(count);
        }
        return blocks;
    }
}
