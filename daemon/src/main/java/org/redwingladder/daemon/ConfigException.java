package org.redwingladder.daemon;

import java.util.List;

/** Reports all faults of a configuration file at once. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<Fault> mFaults;

    /**
     * Names one fault.
     *
     * @param path the JSON pointer of the faulty member, empty for the whole file
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

    /** Returns the faults in the order of the file's members. */
    public List<Fault> faults() {
        return mFaults;
    }
}
