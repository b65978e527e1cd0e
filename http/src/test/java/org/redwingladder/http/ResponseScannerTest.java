package org.redwingladder.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseScannerTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    /** What a scanner makes of some bytes. */
    private record Scan(boolean complete, String parsed) {}

    /** Scans a text in parts of random sizes, one byte each if {@code random} is null. */
    private static Scan scan(String text, Random random) {
        ResponseScanner scanner = new ResponseScanner();
        scanner.startResponse(false);
        StringBuilder parsed = new StringBuilder();
        byte[] bytes = text.getBytes(ISO_8859_1);
        int position = 0;
        try {
            while (position < bytes.length) {
                int count = random == null ? 1 : 1 + random.nextInt(bytes.length - position);
                byte[] part = scanner.scan(ByteBuffer.wrap(bytes, position, count));
                parsed.append(
                        part == null
                                ? new String(bytes, position, count, ISO_8859_1)
                                : new String(part, ISO_8859_1));
                position += count;
            }
            return new Scan(scanner.isComplete(), parsed.toString());
        } catch (InvalidResponseException e) {
            return new Scan(false, "");
        }
    }

    private static Scan scan(String text) {
        return scan(text, null);
    }

    /** A random valid response and the form in which the scanner passes it on. */
    private record Generated(String text, String canonical) {
        private static final String TOKEN_CHARS = "!#$%&'*+-.^_`|~09azAZ";
        private static final String[] BLANKS = {"", " ", "\t", " \t "};

        static Generated of(Random random) {
            StringBuilder text = new StringBuilder();
            for (int i = random.nextInt(3); i > 0; i--) {
                int status = random.nextBoolean() ? 100 : 102 + random.nextInt(98);
                text.append("HTTP/1.1 ").append(status).append(" X\r\nA: b\r\n\r\n");
            }
            int[] statuses = {200, 201, 204, 304, 404, 500, 503, 599};
            int status = statuses[random.nextInt(statuses.length)];
            StringBuilder canonical = new StringBuilder("HTTP/1.1 " + status + " ");
            text.append("HTTP/1.1 ").append(status);
            if (random.nextInt(4) > 0) {
                String reason = text(random);
                text.append(' ').append(reason);
                canonical.append(reason);
            }
            text.append("\r\n");
            canonical.append("\r\n");
            fields(random, text, canonical);
            body(random, status, text, canonical);
            return new Generated(text.toString(), canonical.toString());
        }

        private static void fields(Random random, StringBuilder text, StringBuilder canonical) {
            for (int i = random.nextInt(4); i > 0; i--) {
                String name = token(random);
                String value = text(random).strip();
                text.append(name).append(':').append(blank(random)).append(value);
                text.append(blank(random)).append("\r\n");
                canonical.append(name).append(": ").append(value).append("\r\n");
            }
        }

        private static void body(
                Random random, int status, StringBuilder text, StringBuilder canonical) {
            if (status == 204 || status == 304) {
                text.append(status == 304 ? "content-length: 7 \r\n\r\n" : "\r\n");
                canonical.append("\r\n");
                return;
            }
            String body = random.nextBoolean() ? text(random) : "\r\n\r\n";
            StringBuilder framed = new StringBuilder();
            switch (random.nextInt(3)) {
                case 0 -> framed.append("\r\n").append(body);
                case 1 ->
                        framed.append("Content-Length: 0")
                                .append(body.length() + "\r\n\r\n" + body);
                default -> {
                    framed.append("transfer-encoding: Chunked\r\n\r\n");
                    for (int i = random.nextInt(3); i > 0; i--) {
                        framed.append(String.format("%03X", body.length() + 1));
                        framed.append(extension(random)).append("\r\nx").append(body);
                        framed.append("\r\n");
                    }
                    framed.append("0").append(extension(random)).append("\r\n");
                    framed.append(random.nextBoolean() ? "Trailer:  t\r\n\r\n" : "\r\n");
                }
            }
            text.append(framed);
            canonical.append(framed);
        }

        private static String extension(Random random) {
            return switch (random.nextInt(4)) {
                case 0 -> ";" + token(random);
                case 1 -> ";" + token(random) + "=" + token(random) + ";b";
                case 2 -> ";a=\"q\\\" \t;\"";
                default -> "";
            };
        }

        private static String token(Random random) {
            StringBuilder token = new StringBuilder();
            for (int i = random.nextInt(4); i >= 0; i--) {
                token.append(TOKEN_CHARS.charAt(random.nextInt(TOKEN_CHARS.length())));
            }
            return token.toString();
        }

        private static String text(Random random) {
            StringBuilder text = new StringBuilder();
            for (int i = random.nextInt(6); i > 0; i--) {
                int c = 0x20 + random.nextInt(0xe0);
                text.append(c == 0x7f || c == 0xa0 ? ':' : (char) c);
            }
            return text.toString();
        }

        private static String blank(Random random) {
            return BLANKS[random.nextInt(BLANKS.length)];
        }
    }

    private static String mutate(String text, Random random) {
        int position = random.nextInt(text.length());
        String odd = "\r\n \t\0:;=\"\\x0123456789/HTP.-+,\u007f\u0080\u00ff";
        char c = odd.charAt(random.nextInt(odd.length()));
        String before = text.substring(0, position);
        return switch (random.nextInt(3)) {
            case 0 -> before + c + text.substring(position + 1);
            case 1 -> before + c + text.substring(position);
            default -> before + text.substring(position + 1);
        };
    }

    @Property(tries = 3000, seed = "20261206")
    void validResponsesArePassedOnWithAnySplit(@ForAll long seed) {
        Random random = new Random(seed);
        Generated generated = Generated.of(random);
        Scan expected = new Scan(true, generated.canonical());
        assertThat(ReferenceGrammar.isResponse(generated.text())).isTrue();
        assertThat(scan(generated.text())).isEqualTo(expected);
        assertThat(scan(generated.text(), random)).isEqualTo(expected);
    }

    @Property(tries = 20_000, seed = "20261206")
    void mutatedResponsesAreValidOrRejected(@ForAll long seed) {
        Random random = new Random(seed);
        String mutated = mutate(Generated.of(random).text(), random);
        boolean valid = ReferenceGrammar.isResponse(mutated);
        assertThat(scan(mutated).complete()).as(mutated).isEqualTo(valid);
        assertThat(scan(mutated, random).complete()).as(mutated).isEqualTo(valid);
    }

    @Nested
    class Tolerated {
        @Test
        void isAStatusLineWithoutReasonPhrase() {
            assertThat(scan("HTTP/1.1 200\r\n\r\n"))
                    .isEqualTo(new Scan(true, "HTTP/1.1 200 \r\n\r\n"));
        }

        @Test
        void isALengthOfZeroWithoutContent() {
            assertThat(scan("HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n"))
                    .isEqualTo(new Scan(true, "HTTP/1.1 204 X\r\n\r\n"));
        }
    }

    @Nested
    class Rejected {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.0 200 OK\r\n\r\n",
                    "HTTP/2 200 OK\r\n\r\n",
                    "http/1.1 200 OK\r\n\r\n",
                    "HTTP/1.1  200 OK\r\n\r\n",
                    "HTTP/1.1\t200 OK\r\n\r\n",
                    "\r\nHTTP/1.1 200 OK\r\n\r\n",
                    " HTTP/1.1 200 OK\r\n\r\n",
                    "HTTP/1.1 200 O\u0000K\r\n\r\n",
                    "HTTP/1.1 200 OK\n\r\n",
                    "HTTP/1.1 200 OK\r\n\n",
                    "HTTP/1.1 204 X\r\nContent-Length: 1\r\n\r\n",
                    "HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "HTTP/1.1 100 X\r\nContent-Length: 1\r\n\r\n",
                    "HTTP/1.1 200 X\r\nContent-Length: 99999999999999999999\r\n\r\n"
                })
        void areOtherForms(String text) {
            assertThat(scan(text)).isEqualTo(new Scan(false, ""));
        }

        @Test
        void areBytesBehindAResponse() throws Exception {
            ResponseScanner scanner = new ResponseScanner();
            scanner.startResponse(false);
            byte[] bytes = (OK + "Content-Length: 1\r\n\r\nab").getBytes(ISO_8859_1);
            assertThatThrownBy(() -> scanner.scan(ByteBuffer.wrap(bytes)))
                    .isInstanceOf(InvalidResponseException.class);
        }

        @Test
        void areBytesBeforeTheFirstRequest() {
            ResponseScanner scanner = new ResponseScanner();
            assertThatThrownBy(() -> scanner.scan(ByteBuffer.wrap(OK.getBytes(ISO_8859_1))))
                    .isInstanceOf(InvalidResponseException.class);
        }

        @Test
        void areHeadsBeyondTheLimit() {
            String head = OK + "A: " + "x".repeat(ResponseHeadScanner.MAX_HEAD_BYTES) + "\r\n";
            assertThat(scan(head + "Content-Length: 0\r\n\r\n").complete()).isFalse();
        }
    }

    @Nested
    class HeadRequest {
        @ParameterizedTest
        @ValueSource(strings = {"Content-Length: 5", "Transfer-Encoding: chunked", "A: b"})
        void hasAResponseWithoutBody(String field) throws Exception {
            ResponseScanner scanner = new ResponseScanner();
            scanner.startResponse(true);
            scanner.scan(ByteBuffer.wrap((OK + field + "\r\n\r\n").getBytes(ISO_8859_1)));
            assertThat(scanner.isComplete()).isTrue();
        }
    }
}
