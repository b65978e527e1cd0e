package org.redwingladder.emulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.redwingladder.steering.SendResult;

/** Chooses servers without the decisions of an entry host, as bounds from below and above. */
final class SimpleHosts {
    private static final int MAX_TRIES = 2;
    private static final long RETRY_AFTER_MILLIS = 200;

    private final Emulation mWorld;
    private final Map<String, Integer> mTurns = new HashMap<>();

    SimpleHosts(Emulation world) {
        mWorld = world;
    }

    /** Takes the servers of the host's region in turn, all servers if it has none. */
    void inTurn(String zone, EmulatedRequest request) {
        inTurn(zone, request, 1);
    }

    private void inTurn(String zone, EmulatedRequest request, int tries) {
        Map<String, String> regions = mWorld.site().regionOfZone();
        String service = request.kind().service();
        List<EmulatedServer> all = mWorld.usable(service);
        String region = String.valueOf(regions.get(zone));
        List<EmulatedServer> near =
                all.stream().filter(server -> region.equals(regions.get(server.zone()))).toList();
        List<EmulatedServer> from = near.isEmpty() ? all : near;
        if (from.isEmpty() || tries > MAX_TRIES) {
            mWorld.refused(request, RETRY_AFTER_MILLIS);
            return;
        }
        int turn = mTurns.merge(zone + ' ' + service, 1, Integer::sum);
        mWorld.send(
                zone,
                from.get(turn % from.size()),
                request,
                result -> {
                    if (result == SendResult.ANSWERED) {
                        mWorld.answered(request);
                    } else if (!request.ended()) {
                        inTurn(zone, request, tries + 1);
                    }
                });
    }

    /** Takes the server that ends the request first, as only one can that knows everything. */
    void firstToEnd(String zone, EmulatedRequest request) {
        EmulatedServer best = null;
        double bestNanos = Double.MAX_VALUE;
        for (EmulatedServer server : mWorld.usable(request.kind().service())) {
            if (!server.full()) {
                double nanos =
                        server.finishNanos(request.object(), request.workNanos())
                                + 2 * mWorld.site().delayNanos(zone, server.zone());
                if (nanos < bestNanos) {
                    bestNanos = nanos;
                    best = server;
                }
            }
        }
        double leftNanos = request.untilNanos() - mWorld.time().nowNanos();
        if (best == null || bestNanos > leftNanos) {
            mWorld.refused(request, RETRY_AFTER_MILLIS);
            return;
        }
        mWorld.send(
                zone,
                best,
                request,
                result -> {
                    if (result == SendResult.ANSWERED) {
                        mWorld.answered(request);
                    } else {
                        mWorld.refused(request, RETRY_AFTER_MILLIS);
                    }
                });
    }
}
