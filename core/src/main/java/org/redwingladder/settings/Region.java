package org.redwingladder.settings;

import java.util.List;

/**
 * Names the availability zones of a region.
 *
 * @param zones the zones' names
 */
public record Region(List<String> zones) {

    public Region {
        zones = List.copyOf(zones);
    }
}
