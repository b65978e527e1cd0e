package org.redwingladder.request;

import io.undertow.util.HeaderMap;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.redwingladder.routing.LoadReport;

/** Parses the load report in the headers of a backend server's response. */
final class LoadReportParser {
    private LoadReportParser() {}

    /** Returns the report; null if the headers contain none or a malformed one. */
    static @Nullable LoadReport parse(HeaderMap headers) {
        String load = headers.getFirst(WireHeaders.LOAD);
        String state = headers.getFirst(WireHeaders.STATE);
        if (load == null && state == null) {
            return null;
        }
        int slash = load == null ? -1 : load.indexOf('/');
        try {
            int inFlight = slash < 0 ? 0 : Integer.parseInt(load, 0, slash, 10);
            int slots = slash < 0 ? 0 : Integer.parseInt(load, slash + 1, load.length(), 10);
            LoadReport.State parsed =
                    state == null
                            ? LoadReport.State.SERVING
                            : LoadReport.State.valueOf(state.toUpperCase(Locale.ROOT));
            return new LoadReport(inFlight, slots, parsed);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
