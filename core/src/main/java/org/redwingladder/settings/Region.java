package org.redwingladder.settings;

import java.util.List;

/**
 * A region, made up of availability zones.
 *
 * @param zones the zones' names
 */
public record Region(List<String> zones) {

    public Region {
        zones = List.copyOf(zones);
    }
}
