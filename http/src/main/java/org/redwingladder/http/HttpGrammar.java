package org.redwingladder.http;

/** The character classes of HTTP messages, RFC 9110 section 5.6 and RFC 9112. */
final class HttpGrammar {
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final int FIRST_VISIBLE = 0x21;
    private static final int DELETE = 0x7f;

    private HttpGrammar() {}

    /** Returns whether a byte may be part of a token, such as the name of a field. */
    static boolean isTokenChar(byte b) {
        return isDigit(b)
                || (b >= 'a' && b <= 'z')
                || (b >= 'A' && b <= 'Z')
                || (b > 0 && TOKEN_SYMBOLS.indexOf(b) >= 0);
    }

    /** Returns whether a byte may be part of a field value, a reason phrase or a quoted string. */
    static boolean isTextChar(byte b) {
        int unsigned = Byte.toUnsignedInt(b);
        return isBlank(b) || (unsigned >= FIRST_VISIBLE && unsigned != DELETE);
    }

    static boolean isBlank(byte b) {
        return b == ' ' || b == '\t';
    }

    static boolean isDigit(byte b) {
        return b >= '0' && b <= '9';
    }

    /** Returns the value of a hexadecimal digit, a negative value for any other byte. */
    static int hexValue(byte b) {
        return b >= 0 ? Character.digit(b, 16) : -1;
    }

    /** Describes a byte for an error message. */
    static String describe(byte b) {
        return b >= FIRST_VISIBLE && b < DELETE
                ? "'" + (char) b + "'"
                : String.format("byte 0x%02x", b);
    }
}
