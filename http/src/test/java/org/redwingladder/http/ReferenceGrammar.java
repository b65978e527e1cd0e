package org.redwingladder.http;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The grammar of responses as regular expressions, independent of {@link ResponseScanner}. */
public final class ReferenceGrammar {
    private static final String TOKEN = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+";
    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]";
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.1 ([1-5][0-9]{2})(?: " + TEXT + "*)?\\r\\n");
    private static final Pattern FIELD =
            Pattern.compile("(" + TOKEN + "):[\\t ]*(" + TEXT + "*?)[\\t ]*\\r\\n");
    private static final Pattern EMPTY_LINE = Pattern.compile("\\r\\n");
    private static final Pattern CHUNK_LINE =
            Pattern.compile(
                    "([0-9A-Fa-f]{1,15})(?:;"
                            + TOKEN
                            + "(?:=(?:"
                            + TOKEN
                            + "|\"(?:[\\t\\x20\\x21\\x23-\\x5b\\x5d-\\x7e\\x80-\\xff]|\\\\"
                            + TEXT
                            + ")*\"))?)*\\r\\n");

    private final String mText;
    private int mPosition;

    private ReferenceGrammar(String text) {
        mText = text;
    }

    /** Returns whether a text is exactly one response to a GET, with any interim ones before it. */
    public static boolean isResponse(String text) {
        return new ReferenceGrammar(text).matches();
    }

    private boolean matches() {
        int status;
        List<String[]> fields;
        do {
            Matcher line = next(STATUS_LINE);
            fields = line == null ? null : fields();
            if (fields == null) {
                return false;
            }
            status = Integer.parseInt(line.group(1));
            if (status == 101 || !framingIsValid(status, fields)) {
                return false;
            }
        } while (status < 200);
        return bodyMatches(status, fields) && mPosition == mText.length();
    }

    private Matcher next(Pattern pattern) {
        Matcher matcher = pattern.matcher(mText).region(mPosition, mText.length());
        if (!matcher.lookingAt()) {
            return null;
        }
        mPosition = matcher.end();
        return matcher;
    }

    private List<String[]> fields() {
        List<String[]> fields = new ArrayList<>();
        for (Matcher field = next(FIELD); field != null; field = next(FIELD)) {
            fields.add(new String[] {field.group(1), field.group(2)});
        }
        return next(EMPTY_LINE) == null ? null : fields;
    }

    private static List<String> values(List<String[]> fields, String name) {
        return fields.stream().filter(f -> f[0].equalsIgnoreCase(name)).map(f -> f[1]).toList();
    }

    private static boolean framingIsValid(int status, List<String[]> fields) {
        List<String> lengths = values(fields, "content-length");
        List<String> encodings = values(fields, "transfer-encoding");
        boolean bodyForbidden = status < 200 || status == 204;
        return lengths.size() + encodings.size() <= 1
                && lengths.stream().allMatch(v -> v.matches("0*[0-9]{1,18}"))
                && encodings.stream().allMatch(v -> v.equalsIgnoreCase("chunked"))
                && !(bodyForbidden && lengths.stream().anyMatch(v -> Long.parseLong(v) > 0))
                && !(bodyForbidden && !encodings.isEmpty());
    }

    private boolean bodyMatches(int status, List<String[]> fields) {
        if (status == 204 || status == 304) {
            return true;
        }
        if (!values(fields, "transfer-encoding").isEmpty()) {
            return chunksMatch();
        }
        List<String> lengths = values(fields, "content-length");
        long end =
                lengths.isEmpty()
                        ? mText.length()
                        : mPosition + Math.min(Long.parseLong(lengths.get(0)), 1L << 40);
        mPosition = (int) Math.min(end, mText.length() + 1L);
        return true;
    }

    private boolean chunksMatch() {
        while (true) {
            Matcher line = next(CHUNK_LINE);
            if (line == null) {
                return false;
            }
            long size = Long.parseLong(line.group(1), 16);
            if (size == 0) {
                List<String[]> trailers = fields();
                return trailers != null
                        && values(trailers, "content-length").isEmpty()
                        && values(trailers, "transfer-encoding").isEmpty();
            }
            if (size > mText.length() - mPosition) {
                return false;
            }
            mPosition += (int) size;
            if (next(EMPTY_LINE) == null) {
                return false;
            }
        }
    }
}
