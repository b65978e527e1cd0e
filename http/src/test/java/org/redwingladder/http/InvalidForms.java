package org.redwingladder.http;

import java.util.List;
import java.util.regex.Matcher;

/** Responses that are made invalid in one place each. */
public final class InvalidForms {
    /** Parts of a valid response and what stands in their place. */
    private static final String[][] FORMS = {
        {" 200 ", " 000 "},
        {" 200 ", " 101 "},
        {"\r\nContent-Length", "\r\n Content-Length"},
        {"Content-Length", "Transfer-Encoding: chunked\r\nContent-Length"},
        {"Content-Length: ", "Content-Length: +"},
        {"Content-Length: ", "Content-Length: 0x"},
        {"Content-Length: ", "Content-Length: 1\r\nContent-Length: "},
        {"Content-Length: .*\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n2x\r\n"},
        {"\r\nContent-Length", "\r\nno field\r\nContent-Length"},
        {"\r\nContent-Length", "\r\nA b: c\r\nContent-Length"},
        {"\r\nContent-Length", "\r\nA\u0001: c\r\nContent-Length"}
    };

    private InvalidForms() {}

    /** Returns the invalid forms of a valid response with status 200 and Content-Length. */
    public static List<String> of(String valid) {
        return List.of(FORMS).stream()
                .map(form -> valid.replaceFirst(form[0], Matcher.quoteReplacement(form[1])))
                .toList();
    }

    /** Returns the invalid forms of a response with status 200 and the given body. */
    public static List<String> withBody(String body) {
        return of(
                "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }
}
