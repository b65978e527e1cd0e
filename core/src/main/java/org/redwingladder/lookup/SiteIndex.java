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
 * Numbers the sites, so that tables can name a site in a {@code short}.
 *
 * <p>A site keeps its number from one settings version to the next. The number of a removed site is
 * free only from the version after, so that a table of the old version never mistakes a new site
 * for a removed one while it is updated.
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

    /** Returns a table without sites. */
    public static SiteIndex empty() {
        return new SiteIndex(new Site[0]);
    }

    /** Returns the table of the sites of {@code settings}. */
    public static SiteIndex of(Settings settings) {
        return empty().update(settings);
    }

    /** Returns the table of the sites of {@code settings}, with the numbers of this one kept. */
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
            throw new IllegalArgumentException(highest + " is above the highest site number");
        }
        return new SiteIndex(Arrays.copyOf(next, highest + 1));
    }

    /** Returns the number of sites. */
    public int size() {
        return mNumbers.size();
    }

    /** Returns one more than the highest number in use. */
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
