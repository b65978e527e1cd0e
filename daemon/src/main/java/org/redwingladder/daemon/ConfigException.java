package org.redwingladder.daemon;

import java.util.List;

/** Thrown if a configuration file is invalid; reports all of its errors at once. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<Fault> mFaults;

    /**
     * One error of a configuration file.
     *
     * @param path the JSON pointer of the invalid member; empty for the whole file
     * @param message what is wrong and what is allowed
     */
    public record Fault(String path, String message) {
        @Override
        public String toString() {
            return (path.isEmpty() ? "" : path + ": ") + message;
        }
    }

    ConfigException(List<Fault> faults) {
        super(String.join("; ", faults.stream().map(Fault::toString).toList()));
        mFaults = List.copyOf(faults);
    }

    /** Returns the errors in the order in which they were found. */
    public List<Fault> faults() {
        return mFaults;
    }
}
