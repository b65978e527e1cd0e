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

/** Decides which sites one process has started, and which it still has to release. */
final class Sites {
    // An old owner that has acknowledged the epoch sends its release at the same time.
    private static final long RELEASE_WAIT_MILLIS = 100;

    // A release is only repeated when its answer is missing; the new owner waits for it.
    private static final long RELEASE_REPEAT_MILLIS = 250;

    private final MemberId mSelf;
    private final Set<String> mStarted = new TreeSet<>();
    private final Map<String, Integer> mReceived = new HashMap<>();
    private final Set<String> mTakenOver = new HashSet<>();
    private List<Member> mPrevious = List.of();
    private final Set<String> mReleased = new HashSet<>();
    private long mNextReleaseAt;
    private Set<String> mServices = Set.of();
    private boolean mServicesKnown;
    private long mStoppedBy;

    Sites(MemberId self) {
        mSelf = self;
    }

    Set<String> started() {
        return mStarted;
    }

    Set<String> services() {
        return mServices;
    }

    /** Takes over a later roster; stops what this process may not go on with. */
    void adopt(@Nullable Roster before, Roster roster, long now, List<RosterEffect> effects) {
        mStoppedBy = now;
        if (before != null && before.epoch() == roster.epoch()) {
            return;
        }
        mReceived.clear();
        mReleased.clear();
        mTakenOver.clear();
        mPrevious = roster.previous();
        mNextReleaseAt = Long.MIN_VALUE;
        boolean consecutive = before != null && before.epoch() + 1 == roster.epoch();
        for (String service : List.copyOf(mStarted)) {
            // After a skipped epoch another member may have owned the site in between.
            if (!consecutive || !owns(roster.members(), service)) {
                stop(service, effects);
            }
        }
    }

    /** Takes over the services that have a site in the zone. */
    void services(
            long version,
            Set<String> services,
            @Nullable Roster roster,
            List<RosterEffect> effects) {
        Set<String> added = new TreeSet<>(services);
        added.removeAll(mServices);
        mServices = services;
        for (String service : List.copyOf(mStarted)) {
            if (!services.contains(service)) {
                stop(service, effects);
            }
        }
        if (mServicesKnown && roster != null && roster.settled()) {
            for (String service : added) {
                if (owns(roster.members(), service)) {
                    start(service, roster, new SiteStart.Fresh(), effects);
                }
            }
        }
        // A version below the floor comes from a stale read and may lack services that are served.
        mServicesKnown |= roster != null && version >= roster.settingsFloor();
    }

    /**
     * Takes in a release; returns whether the sender need not repeat it. A site that was started
     * without one, because the epoch was settled first, is started again with what it reports.
     */
    boolean released(Release release, @Nullable Roster roster, List<RosterEffect> effects) {
        if (roster == null || release.epoch() > roster.epoch()) {
            return false;
        }
        if (release.epoch() == roster.epoch()) {
            for (Map.Entry<String, Integer> entry : release.services().entrySet()) {
                String service = entry.getKey();
                Member old = Ownership.ownerOf(mPrevious, service);
                if (old == null || !old.id().equals(release.sender())) {
                    continue;
                }
                mReceived.put(service, entry.getValue());
                if (mTakenOver.remove(service) && mStarted.contains(service)) {
                    start(service, roster, new SiteStart.Released(entry.getValue()), effects);
                }
            }
        }
        return true;
    }

    /**
     * Starts the sites whose earlier owner has certainly stopped.
     *
     * @param acknowledged tells whether a process itself has acknowledged the epoch
     */
    void startAllowed(
            Roster roster, Predicate<MemberId> acknowledged, long now, List<RosterEffect> effects) {
        for (String service : mServices) {
            if (mStarted.contains(service) || !owns(roster.members(), service)) {
                continue;
            }
            if (roster.epoch() == 1) {
                start(service, roster, new SiteStart.Fresh(), effects);
            } else if (mReceived.containsKey(service)) {
                SiteStart from = new SiteStart.Released(mReceived.get(service));
                start(service, roster, from, effects);
            } else if (noOtherOwnerBefore(service, roster)
                    || (roster.settled() && !releaseIsDue(service, acknowledged, now))) {
                mTakenOver.add(service);
                start(service, roster, new SiteStart.TakenOver(mStoppedBy), effects);
            }
        }
    }

    /** Sends the releases that were not answered yet. */
    void sendReleases(Roster roster, long now, List<RosterEffect> effects) {
        if (roster.settled() || now < mNextReleaseAt) {
            return;
        }
        mNextReleaseAt = now + RELEASE_REPEAT_MILLIS;
        Map<MemberId, Map<String, Integer>> due = new HashMap<>();
        for (String service : mServices) {
            Member owner = Ownership.ownerOf(roster, service);
            if (owner != null
                    && !owner.id().equals(mSelf)
                    && owns(roster.previous(), service)
                    && !mReleased.contains(service)) {
                due.computeIfAbsent(owner.id(), id -> new TreeMap<>()).put(service, 0);
            }
        }
        for (Member member : roster.members()) {
            Map<String, Integer> services = due.get(member.id());
            if (services != null) {
                Release release =
                        new Release(
                                roster.zone(),
                                roster.epoch(),
                                mSelf.host(),
                                mSelf.incarnation(),
                                services,
                                roster);
                effects.add(new RosterEffect.SendRelease(member, release));
            }
        }
    }

    /** Records that a release of the current epoch has arrived. */
    void releaseAccepted(Release release, long epoch) {
        if (release.epoch() == epoch) {
            mReleased.addAll(release.services().keySet());
        }
    }

    /** Stops all sites. */
    void stopAll(List<RosterEffect> effects) {
        for (String service : new ArrayList<>(mStarted)) {
            stop(service, effects);
        }
    }

    private boolean noOtherOwnerBefore(String service, Roster roster) {
        if (roster.settled()) {
            return false;
        }
        Member old = Ownership.ownerOf(roster.previous(), service);
        return old == null || old.id().equals(mSelf);
    }

    private boolean releaseIsDue(String service, Predicate<MemberId> acknowledged, long now) {
        Member old = Ownership.ownerOf(mPrevious, service);
        return old != null
                && !old.id().equals(mSelf)
                && acknowledged.test(old.id())
                && now < mStoppedBy + RELEASE_WAIT_MILLIS;
    }

    private boolean owns(List<Member> members, String service) {
        Member owner = Ownership.ownerOf(members, service);
        return owner != null && owner.id().equals(mSelf);
    }

    private void start(String service, Roster roster, SiteStart start, List<RosterEffect> effects) {
        mStarted.add(service);
        effects.add(new RosterEffect.StartSite(service, roster.epoch(), start));
    }

    private void stop(String service, List<RosterEffect> effects) {
        mStarted.remove(service);
        effects.add(new RosterEffect.StopSite(service));
    }
}
