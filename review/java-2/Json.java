import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON into maps, lists, strings, doubles and booleans. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private char next() {
        while (Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
        return mText.charAt(mAt);
    }

    private Object value() {
        switch (next()) {
            case '{' -> {
                Map<String, Object> map = new LinkedHashMap<>();
                mAt++;
                while (next() != '}') {
                    String key = string();
                    next();
                    mAt++;
                    map.put(key, value());
                    if (next() == ',') {
                        mAt++;
                    }
                }
                mAt++;
                return map;
            }
            case '[' -> {
                List<Object> list = new ArrayList<>();
                mAt++;
                while (next() != ']') {
                    list.add(value());
                    if (next() == ',') {
                        mAt++;
                    }
                }
                mAt++;
                return list;
            }
            case '"' -> {
                return string();
            }
            default -> {
                int start = mAt;
                while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
                    mAt++;
                }
                String word = mText.substring(start, mAt);
                return switch (word) {
                    case "null" -> null;
                    case "true" -> Boolean.TRUE;
                    case "false" -> Boolean.FALSE;
                    default -> Double.valueOf(word);
                };
            }
        }
    }

    private String string() {
        next();
        StringBuilder text = new StringBuilder();
        for (mAt++; mText.charAt(mAt) != '"'; mAt++) {
            char c = mText.charAt(mAt);
            if (c == '\\') {
                c = mText.charAt(++mAt);
                switch (c) {
                    case 'n' -> c = '\n';
                    case 't' -> c = '\t';
                    case 'r' -> c = '\r';
                    case 'u' -> {
                        c = (char) Integer.parseInt(mText.substring(mAt + 1, mAt + 5), 16);
                        mAt += 4;
                    }
                    default -> {}
                }
            }
            text.append(c);
        }
        mAt++;
        return text.toString();
    }
}
