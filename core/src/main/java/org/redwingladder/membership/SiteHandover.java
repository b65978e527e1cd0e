package org.redwingladder.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Hand-over of sites between the owners of consecutive epochs, as seen by one process: which sites
 * it may start, must stop and has to release.
 */
final class SiteHandover {
    // A previous owner that has adopted the epoch sends its release at the same time.
    private static final long RELEASE_WAIT_MILLIS = 100;

    // The retry interval of releases without an answer; the new owner waits for the release.
    private static final long RELEASE_RETRY_MILLIS = 250;

    private final MemberId mSelf;
    private final Set<String> mActive = new TreeSet<>();
    private final Map<String, Integer> mReceivedReleases = new HashMap<>();
    private final Set<String> mFailedOver = new HashSet<>();
    private List<Member> mPreviousMembers = List.of();
    private final Set<String> mAcceptedReleases = new HashSet<>();
    private long mNextReleaseAt;
    private Set<String> mServices = Set.of();
    private boolean mServicesKnown;
    private long mAdoptedAt;

    SiteHandover(MemberId self) {
        mSelf = self;
    }

    Set<String> activeServices() {
        return mActive;
    }

    Set<String> services() {
        return mServices;
    }

    /** Adopts a later roster and stops the sites that this process may no longer serve. */
    void adopt(@Nullable Roster before, Roster roster, long now, List<MembershipEffect> effects) {
        mAdoptedAt = now;
        if (before != null && before.epoch() == roster.epoch()) {
            return;
        }
        mReceivedReleases.clear();
        mAcceptedReleases.clear();
        mFailedOver.clear();
        mPreviousMembers = roster.previous();
        mNextReleaseAt = Long.MIN_VALUE;
        boolean consecutive = before != null && before.epoch() + 1 == roster.epoch();
        for (String service : List.copyOf(mActive)) {
            // In a skipped epoch another member may have owned the site.
            if (!consecutive || !owns(roster.members(), service)) {
                stop(service, effects);
            }
        }
    }

    /** Replaces the services that have a site in the zone; starts and stops sites accordingly. */
    void updateServices(
            long version,
            Set<String> services,
            @Nullable Roster roster,
            List<MembershipEffect> effects) {
        Set<String> added = new TreeSet<>(services);
        added.removeAll(mServices);
        mServices = services;
        for (String service : List.copyOf(mActive)) {
            if (!services.contains(service)) {
                stop(service, effects);
            }
        }
        if (mServicesKnown && roster != null && roster.settled()) {
            for (String service : added) {
                if (owns(roster.members(), service)) {
                    start(service, roster, new SiteTransfer.Initial(), effects);
                }
            }
        }
        // A version below the floor comes from a stale read and may lack existing services.
        mServicesKnown |= roster != null && version >= roster.settingsFloor();
    }

    /**
     * Handles a release; returns whether the sender can stop retrying it. A site that was started
     * without a release, because the epoch was settled first, is started again with the reported
     * requests in flight.
     */
    boolean receiveRelease(
            SiteRelease release, @Nullable Roster roster, List<MembershipEffect> effects) {
        if (roster == null || release.epoch() > roster.epoch()) {
            return false;
        }
        if (release.epoch() == roster.epoch()) {
            for (Map.Entry<String, Integer> entry : release.services().entrySet()) {
                String service = entry.getKey();
                Member previousOwner = Ownership.ownerOf(mPreviousMembers, service);
                if (previousOwner == null || !previousOwner.id().equals(release.sender())) {
                    continue;
                }
                mReceivedReleases.put(service, entry.getValue());
                if (mFailedOver.remove(service) && mActive.contains(service)) {
                    start(service, roster, new SiteTransfer.HandedOver(entry.getValue()), effects);
                }
            }
        }
        return true;
    }

    /**
     * Starts the sites whose previous owner has certainly stopped.
     *
     * @param hasAdopted returns whether a running process has adopted the epoch
     */
    void startReadySites(
            Roster roster,
            Predicate<MemberId> hasAdopted,
            long now,
            List<MembershipEffect> effects) {
        for (String service : mServices) {
            if (mActive.contains(service) || !owns(roster.members(), service)) {
                continue;
            }
            if (roster.epoch() == 1) {
                start(service, roster, new SiteTransfer.Initial(), effects);
            } else if (mReceivedReleases.containsKey(service)) {
                SiteTransfer from = new SiteTransfer.HandedOver(mReceivedReleases.get(service));
                start(service, roster, from, effects);
            } else if (hadNoOtherOwner(service, roster)
                    || (roster.settled() && !isReleaseExpected(service, hasAdopted, now))) {
                mFailedOver.add(service);
                start(service, roster, new SiteTransfer.FailedOver(mAdoptedAt), effects);
            }
        }
    }

    /** Sends the releases that no new owner has accepted yet. */
    void sendReleases(Roster roster, long now, List<MembershipEffect> effects) {
        if (roster.settled() || now < mNextReleaseAt) {
            return;
        }
        mNextReleaseAt = now + RELEASE_RETRY_MILLIS;
        Map<MemberId, Map<String, Integer>> due = new HashMap<>();
        for (String service : mServices) {
            Member owner = Ownership.ownerOf(roster, service);
            if (owner != null
                    && !owner.id().equals(mSelf)
                    && owns(roster.previous(), service)
                    && !mAcceptedReleases.contains(service)) {
                due.computeIfAbsent(owner.id(), id -> new TreeMap<>()).put(service, 0);
            }
        }
        for (Member member : roster.members()) {
            Map<String, Integer> services = due.get(member.id());
            if (services != null) {
                SiteRelease release =
                        new SiteRelease(
                                roster.zone(),
                                roster.epoch(),
                                mSelf.host(),
                                mSelf.incarnation(),
                                services,
                                roster);
                effects.add(new MembershipEffect.SendRelease(member, release));
            }
        }
    }

    /** Records that the new owner has accepted a release, if it is of the current epoch. */
    void recordReleaseAccepted(SiteRelease release, long epoch) {
        if (release.epoch() == epoch) {
            mAcceptedReleases.addAll(release.services().keySet());
        }
    }

    /** Stops all sites. */
    void stopAll(List<MembershipEffect> effects) {
        for (String service : new ArrayList<>(mActive)) {
            stop(service, effects);
        }
    }

    private boolean hadNoOtherOwner(String service, Roster roster) {
        if (roster.settled()) {
            return false;
        }
        Member previousOwner = Ownership.ownerOf(roster.previous(), service);
        return previousOwner == null || previousOwner.id().equals(mSelf);
    }

    private boolean isReleaseExpected(String service, Predicate<MemberId> hasAdopted, long now) {
        Member previousOwner = Ownership.ownerOf(mPreviousMembers, service);
        return previousOwner != null
                && !previousOwner.id().equals(mSelf)
                && hasAdopted.test(previousOwner.id())
                && now < mAdoptedAt + RELEASE_WAIT_MILLIS;
    }

    private boolean owns(List<Member> members, String service) {
        Member owner = Ownership.ownerOf(members, service);
        return owner != null && owner.id().equals(mSelf);
    }

    private void start(
            String service, Roster roster, SiteTransfer start, List<MembershipEffect> effects) {
        mActive.add(service);
        effects.add(new MembershipEffect.StartSite(service, roster.epoch(), start));
    }

    private void stop(String service, List<MembershipEffect> effects) {
        mActive.remove(service);
        effects.add(new MembershipEffect.StopSite(service));
    }
}
