package org.redwingladder.control;

import java.util.NavigableMap;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.ZoneAcks;

/** Takes the settings in force. Called by one thread at a time. */
public interface SettingsListener {

    /**
     * Takes the settings in force.
     *
     * @param versions the known settings by version; the last one is in force
     * @param acks the lowest version that each zone still serves by
     */
    void settingsUpdated(NavigableMap<Long, Settings> versions, ZoneAcks acks);

    /** Reports that the platform holds no settings yet. */
    void noSettingsStored();
}
