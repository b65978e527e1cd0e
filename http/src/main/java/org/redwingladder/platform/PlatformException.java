package org.redwingladder.platform;

import java.io.IOException;

/** Reports that the platform did not answer, or not as its protocol says. */
public final class PlatformException extends IOException {

    private final boolean mNotRun;

    PlatformException(String message, boolean notRun) {
        super(message);
        mNotRun = notRun;
    }

    /** Returns whether the platform certainly did not act on the call. */
    public boolean notRun() {
        return mNotRun;
    }
}
