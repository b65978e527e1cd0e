package org.redwingladder.control;

import java.util.NavigableMap;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.ZoneAcks;

/** Receives the active settings. Called by one thread at a time. */
public interface SettingsListener {

    /**
     * Called when settings have become active, or acknowledgements have changed.
     *
     * @param versions the retained settings by version; the last one is active
     * @param acks the lowest version that may still be active in each zone
     */
    void settingsUpdated(NavigableMap<Long, Settings> versions, ZoneAcks acks);

    /** Called when the platform has been read and contains no settings yet. */
    void noSettingsStored();
}
