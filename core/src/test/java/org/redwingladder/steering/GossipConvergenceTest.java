package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Simulates the gossip exchanges of a region's hosts in virtual time. */
class GossipConvergenceTest {
    private static final long MILLI = 1_000_000L;
    private static final int ZONES = 3;
    private static final long SEED = 20261204;

    /** The mean period between exchanges; every second time a host exchanges with any zone too. */
    private static final long PERIOD_MILLIS = 600;

    private static final long WARM_UP_MILLIS = 10_000;
    private static final long END_MILLIS = 25_000;

    private static final class Host {
        private final String mName;
        private final String mZone;
        private final GossipMembership mMembers;
        private long mBeats;

        Host(int number, String zone) {
            mName = "h" + number;
            mZone = zone;
            mMembers = GossipMembership.create(mName);
        }

        void incrementHeartbeat(long now) {
            mBeats++;
            mMembers.updateSelf(state(), now);
        }

        HostState state() {
            return new HostState(mName, 1, mBeats, mZone, mName, mName, true, true, 1, Map.of());
        }
    }

    private record Tick(long nanos, int host, long number) {}

    private static void exchange(Host from, Host to, long now) {
        List<HostState> sent = from.mMembers.recentStates(now);
        to.mMembers.merge(sent, now);
        from.mMembers.merge(to.mMembers.recentStatesNewerThan(sent, now), now);
    }

    /** Returns the pairs of which one considered the other failed although all hosts were alive. */
    private static Set<String> falseSuspicions(int hostsPerZone) {
        SplittableRandom random = new SplittableRandom(SEED);
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < ZONES * hostsPerZone; i++) {
            hosts.add(new Host(i, "z" + i % ZONES));
        }
        PriorityQueue<Tick> ticks =
                new PriorityQueue<>((a, b) -> Long.compare(a.nanos(), b.nanos()));
        for (int i = 0; i < hosts.size(); i++) {
            hosts.get(i).incrementHeartbeat(0);
            for (Host other : hosts) {
                hosts.get(i).mMembers.merge(List.of(other.state()), 0);
            }
            ticks.add(new Tick(random.nextLong(PERIOD_MILLIS * MILLI), i, 1));
        }
        Set<String> suspicions = new TreeSet<>();
        for (Tick tick = ticks.poll(); tick.nanos() < END_MILLIS * MILLI; tick = ticks.poll()) {
            Host host = hosts.get(tick.host());
            long now = tick.nanos();
            host.incrementHeartbeat(now);
            gossip(hosts, host, host.mZone, now, random);
            if (tick.number() % 2 == 0) {
                gossip(hosts, host, null, now, random);
            }
            if (now > WARM_UP_MILLIS * MILLI) {
                Set<String> alive = new HashSet<>();
                host.mMembers.alive(now).forEach(entry -> alive.add(entry.name()));
                for (Host other : hosts) {
                    if (!alive.contains(other.mName)) {
                        suspicions.add(host.mName + " considers " + other.mName + " failed");
                    }
                }
            }
            long period = PERIOD_MILLIS * 7 / 8 + random.nextLong(PERIOD_MILLIS / 4);
            ticks.add(new Tick(now + period * MILLI, tick.host(), tick.number() + 1));
        }
        return suspicions;
    }

    private static void gossip(
            List<Host> hosts, Host host, String zone, long now, SplittableRandom random) {
        HostState partner = host.mMembers.selectGossipPeer(zone, now, random);
        if (partner != null) {
            exchange(host, hosts.get(Integer.parseInt(partner.name().substring(1))), now);
        }
    }

    @Nested
    class LivingHosts {
        @ParameterizedTest
        @CsvSource({"3", "12", "33", "96"})
        void areNotSuspected(int hostsPerZone) {
            assertThat(falseSuspicions(hostsPerZone)).as("seed " + SEED).isEmpty();
        }
    }
}
