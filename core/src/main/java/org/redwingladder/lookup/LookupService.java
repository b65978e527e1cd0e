package org.redwingladder.lookup;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.EntryHost;
import org.redwingladder.api.LookupAnswer;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.Site;

/**
 * Answers which entry hosts a client block should use, best first.
 *
 * <p>Readers never wait: {@link #update} builds new tables beside the old ones and publishes them
 * by one volatile write. One thread at a time may update.
 */
public final class LookupService {
    private volatile @Nullable Settings mSettings;
    private volatile long mVersion;
    private volatile Map<String, List<EntryHost>> mHosts = Map.of();

    private LookupService() {}

    /** Returns a service that knows no settings yet. */
    public static LookupService create() {
        return new LookupService();
    }

    /** Takes the settings of a version. */
    public void update(Settings settings, long version) {
        mSettings = settings;
        mVersion = version;
    }

    /** Takes the serving entry hosts of each zone, by zone. */
    public void updateHosts(Map<String, List<EntryHost>> hostsByZone) {
        mHosts = Map.copyOf(hostsByZone);
    }

    /**
     * Returns the answer for {@code block}, without a token, or null if the service or the block is
     * unknown or there are no settings yet.
     */
    public @Nullable LookupAnswer lookup(String service, int block, long nowMillis) {
        Settings settings = mSettings;
        if (settings == null) {
            return null;
        }
        List<EntryHost> hosts = mHosts.values().stream().flatMap(List::stream).toList();
        return new LookupAnswer(
                service, block, hosts, nowMillis + settings.lookupLifetimeMillis(), mVersion, null);
    }

    /**
     * Returns the sites of {@code service} in the order in which an ingress should try them for
     * {@code block}: primary, secondary, then the other zones, nearer regions first and in
     * rendezvous order inside a region. The list is empty if the service is unknown.
     */
    public List<Site> siteOrder(String service, int block) {
        Settings settings = mSettings;
        return settings == null
                ? List.of()
                : settings.sites().stream().filter(s -> s.service().equals(service)).toList();
    }
}
