package org.redwingladder.membership;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Reports to the new owner of sites that the previous owner no longer sends requests of them.
 *
 * @param zone the availability zone
 * @param epoch the epoch in which the receiver owns the sites
 * @param host the previous owner's host
 * @param incarnation the previous owner's process
 * @param services the released services, each with the number of its requests that are still in
 *     flight
 * @param roster the roster of {@code epoch}, for a receiver that has not adopted it yet
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record SiteRelease(
        String zone,
        long epoch,
        String host,
        long incarnation,
        Map<String, Integer> services,
        @Nullable Roster roster) {

    public SiteRelease {
        services = Map.copyOf(services);
    }

    /** Returns the identity of the previous owner. */
    @JsonIgnore
    public MemberId sender() {
        return new MemberId(host, incarnation);
    }

    /** Returns a copy of this release with the given numbers of requests in flight. */
    public SiteRelease withInFlight(Map<String, Integer> inFlight) {
        return new SiteRelease(zone, epoch, host, incarnation, inFlight, roster);
    }
}
