package org.redwingladder.lookup;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.Site;

/**
 * Assigns the sites stable numbers, so that assignments can store a site as a {@code short}.
 *
 * <p>A site keeps its number across settings versions. The number of a removed site is not reused
 * in the version that removes it, so that an update of block assignments never mistakes a new site
 * for a removed one.
 */
public final class SiteIndex {
    private final @Nullable Site[] mSites;
    private final Map<Site, Integer> mNumbers;

    private SiteIndex(@Nullable Site[] sites) {
        mSites = sites;
        mNumbers = new HashMap<>();
        for (int i = 0; i < sites.length; i++) {
            Site site = sites[i];
            if (site != null) {
                mNumbers.put(site, i);
            }
        }
    }

    /** Returns an index without sites. */
    public static SiteIndex empty() {
        return new SiteIndex(new Site[0]);
    }

    /** Returns an index of the sites of {@code settings}. */
    public static SiteIndex of(Settings settings) {
        return empty().update(settings);
    }

    /** Returns an index of the sites of {@code settings} that keeps the numbers of this one. */
    public SiteIndex update(Settings settings) {
        List<Site> sites = settings.sites();
        List<Site> added = new ArrayList<>();
        @Nullable Site[] next = new Site[mSites.length + sites.size()];
        int highest = -1;
        for (Site site : sites) {
            int number = number(site);
            if (number < 0) {
                added.add(site);
            } else {
                next[number] = site;
                highest = Math.max(highest, number);
            }
        }
        int number = 0;
        for (Site site : added) {
            while (next[number] != null || (number < mSites.length && mSites[number] != null)) {
                number++;
            }
            next[number] = site;
            highest = Math.max(highest, number);
        }
        if (highest > Short.MAX_VALUE) {
            throw new IllegalArgumentException(
                    highest + " exceeds the highest allowed site number");
        }
        return new SiteIndex(Arrays.copyOf(next, highest + 1));
    }

    /** Returns the number of sites. */
    public int size() {
        return mNumbers.size();
    }

    /** Returns an exclusive upper bound of the numbers in use. */
    public int limit() {
        return mSites.length;
    }

    /**
     * Returns the site with the given number.
     *
     * @throws IllegalArgumentException if no site has the number
     */
    public Site site(int number) {
        Site site = number >= 0 && number < mSites.length ? mSites[number] : null;
        if (site == null) {
            throw new IllegalArgumentException("no site has the number " + number);
        }
        return site;
    }

    /** Returns the number of {@code site}, or -1 if it is unknown. */
    public int number(Site site) {
        return mNumbers.getOrDefault(site, -1);
    }
}
