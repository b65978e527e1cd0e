package org.redwingladder.entry;

import org.redwingladder.steering.ServerRegistration;
import org.redwingladder.steering.SteeringSettings;

/** Decodes the rows that operators and backend servers write to the platform's store. */
public interface RowDecoder {

    /** A decoded row of the control table. */
    sealed interface ControlRow {
        /** A version of the settings. */
        record Settings(SteeringSettings settings) implements ControlRow {}

        /** Excludes a zone's backend servers from routing as long as the row exists. */
        record Evacuation(String zone) implements ControlRow {}

        /** A row that entry hosts ignore. */
        record Other() implements ControlRow {}
    }

    /** Thrown when a row cannot be decoded. */
    final class MalformedRowException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates an exception whose message names the faulty field. */
        public MalformedRowException(String message) {
            super(message);
        }
    }

    /**
     * Decodes a row of the control table.
     *
     * @throws MalformedRowException if the row cannot be decoded or refers to an unknown name
     */
    ControlRow decodeControlRow(String key, byte[] value) throws MalformedRowException;

    /**
     * Decodes the registration of a backend server.
     *
     * @param nowNanos the time to which remaining durations in the row refer, as of {@link
     *     System#nanoTime}
     * @throws MalformedRowException if the row cannot be decoded or a value is out of range
     */
    ServerRegistration decodeServer(String key, byte[] value, long nowNanos)
            throws MalformedRowException;
}
