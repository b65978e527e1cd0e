package org.redwingladder.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Assigns each site of a zone to one serving member by rendezvous (highest random weight) hashing.
 */
public final class Ownership {
    private Ownership() {}

    /**
     * Returns the owner of {@code service} in the roster's zone, or null if no member is serving.
     */
    public static @Nullable Member ownerOf(Roster roster, String service) {
        return ownerOf(roster.members(), service);
    }

    /** Returns the owner of {@code service} among {@code members}, or null if none is serving. */
    public static @Nullable Member ownerOf(List<Member> members, String service) {
        Member best = null;
        long bestWeight = 0;
        for (Member member : members) {
            if (!member.serving()) {
                continue;
            }
            long weight = weight(member.host(), service);
            if (best == null
                    || Long.compareUnsigned(weight, bestWeight) > 0
                    || (weight == bestWeight && member.host().compareTo(best.host()) < 0)) {
                best = member;
                bestWeight = weight;
            }
        }
        return best;
    }

    /** Returns those of {@code services} whose site {@code id} owns. */
    public static List<String> ownedBy(
            List<Member> members, Collection<String> services, MemberId id) {
        List<String> owned = new ArrayList<>();
        for (String service : services) {
            Member owner = ownerOf(members, service);
            if (owner != null && owner.id().equals(id)) {
                owned.add(service);
            }
        }
        return owned;
    }

    /** Returns the number of members that own a site or are voters. */
    public static int countOwnersAndVoters(List<Member> members, Collection<String> services) {
        int count = 0;
        List<MemberId> owners =
                services.stream()
                        .map(service -> ownerOf(members, service))
                        .filter(owner -> owner != null)
                        .map(Member::id)
                        .distinct()
                        .toList();
        for (int i = 0; i < members.size(); i++) {
            if (i < Roster.MAX_VOTERS || owners.contains(members.get(i).id())) {
                count++;
            }
        }
        return count;
    }

    // The hash is part of the protocol: all entry hosts must compute the same owner.
    private static long weight(String host, String service) {
        return mix(mix(hash(host)) ^ hash(service));
    }

    private static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
