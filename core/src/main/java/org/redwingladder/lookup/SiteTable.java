package org.redwingladder.lookup;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.Site;

/** Numbers the sites of one settings version, so that tables can name a site in a {@code short}. */
public final class SiteTable {
    private final List<Site> mSites;
    private final Map<Site, Integer> mNumbers;

    private SiteTable(List<Site> sites) {
        mSites = List.copyOf(sites);
        mNumbers = new TreeMap<>();
        for (int i = 0; i < mSites.size(); i++) {
            mNumbers.put(mSites.get(i), i);
        }
    }

    /** Returns the table of the sites of {@code settings}. */
    public static SiteTable of(Settings settings) {
        return new SiteTable(settings.sites());
    }

    /** Returns the number of sites. */
    public int size() {
        return mSites.size();
    }

    /** Returns the site with the given number. */
    public Site site(int number) {
        return mSites.get(number);
    }

    /** Returns the number of {@code site}, or -1 if it is unknown. */
    public int number(Site site) {
        return mNumbers.getOrDefault(site, -1);
    }
}
