package org.redwingladder.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when settings or a change are invalid; contains all errors. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsError> mErrors;

    /** Creates an exception with {@code errors}. */
    public SettingsException(List<SettingsError> errors) {
        super(errors.stream().map(SettingsError::toString).collect(Collectors.joining("\n")));
        mErrors = List.copyOf(errors);
    }

    /** Creates an exception with a single error. */
    public SettingsException(String path, String message, String allowed) {
        this(List.of(new SettingsError(path, message, allowed)));
    }

    /** Returns all errors. */
    public List<SettingsError> errors() {
        return mErrors;
    }
}
