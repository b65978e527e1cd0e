package org.redwingladder.entry;

import org.redwingladder.steering.ServerEntry;
import org.redwingladder.steering.SteeringSettings;

/** Decodes the rows that others write to the platform's store. */
public interface RowDecoder {

    /** Tells what a row of the control table says. */
    sealed interface ControlRow {
        /** Holds a version of the settings. */
        record Settings(SteeringSettings settings) implements ControlRow {}

        /** Asks that a zone's backend servers get no requests while the row exists. */
        record Evacuation(String zone) implements ControlRow {}

        /** Holds something that does not concern an entry host. */
        record Other() implements ControlRow {}
    }

    /** Reports a row that cannot be used. */
    final class MalformedRowException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates a report that says what is wrong. */
        public MalformedRowException(String message) {
            super(message);
        }
    }

    /**
     * Decodes a row of the control table.
     *
     * @throws MalformedRowException if the row cannot be read or names something unknown
     */
    ControlRow control(String key, byte[] value) throws MalformedRowException;

    /**
     * Decodes the registration of a backend server.
     *
     * @throws MalformedRowException if the row names no server that can be used
     */
    ServerEntry server(String key, byte[] value, long nowNanos) throws MalformedRowException;
}
