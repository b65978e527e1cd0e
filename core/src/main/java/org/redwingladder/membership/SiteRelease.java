package org.redwingladder.membership;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Tells the new owner of sites that the old owner has stopped sending for them.
 *
 * @param zone the availability zone
 * @param epoch the epoch in which the receiver owns the sites
 * @param host the old owner's host
 * @param incarnation the old owner's process
 * @param services the released services, each with the number of its requests still in flight
 * @param roster the roster of {@code epoch}, for a receiver that has not learned it yet
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

    /** Returns the identity of the old owner. */
    @JsonIgnore
    public MemberId sender() {
        return new MemberId(host, incarnation);
    }

    /** Returns this release with the numbers of requests in flight. */
    public SiteRelease withInFlight(Map<String, Integer> inFlight) {
        return new SiteRelease(zone, epoch, host, incarnation, inFlight, roster);
    }
}
