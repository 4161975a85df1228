import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Map<String, Object> object(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> parse(String text) {
        Object value = text.isBlank() ? new LinkedHashMap<String, Object>() : new Json(text).value();
        return (Map<String, Object>) value;
    }

    static long number(Map<String, Object> map, String field) {
        Object value = map.get(field);
        return value instanceof Number number ? number.longValue() : 0;
    }

    static String text(Map<String, Object> map, String field) {
        Object value = map.get(field);
        return value instanceof String string ? string : "";
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Map<String, Object> map, String field) {
        Object value = map.get(field);
        return value == null ? List.of() : (List<Map<String, Object>>) value;
    }

    private Object value() {
        skipBlanks();
        char c = mText.charAt(mAt);
        switch (c) {
            case '{':
                return map();
            case '[':
                return list();
            case '"':
                return string();
            default:
                return literal();
        }
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        mAt++;
        while (!ends('}')) {
            skipBlanks();
            String key = string();
            skipBlanks();
            mAt++;
            map.put(key, value());
        }
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        mAt++;
        while (!ends(']')) {
            list.add(value());
        }
        return list;
    }

    /** Returns whether the closing character follows; skips it, or a comma. */
    private boolean ends(char closing) {
        skipBlanks();
        if (mText.charAt(mAt) == ',') {
            mAt++;
            skipBlanks();
        }
        if (mText.charAt(mAt) == closing) {
            mAt++;
            return true;
        }
        return false;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        for (mAt++; mText.charAt(mAt) != '"'; mAt++) {
            char c = mText.charAt(mAt);
            if (c == '\\') {
                c = mText.charAt(++mAt);
                if (c == 'u') {
                    c = (char) Integer.parseInt(mText.substring(mAt + 1, mAt + 5), 16);
                    mAt += 4;
                } else {
                    int escape = "nrtbf".indexOf(c);
                    c = escape < 0 ? c : "\n\r\t\b\f".charAt(escape);
                }
            }
            out.append(c);
        }
        mAt++;
        return out.toString();
    }

    private Object literal() {
        int from = mAt;
        while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(from, mAt);
        switch (word) {
            case "true":
                return true;
            case "false":
                return false;
            case "null":
                return null;
            default:
                return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
        }
    }

    private void skipBlanks() {
        while (mAt < mText.length() && mText.charAt(mAt) <= ' ') {
            mAt++;
        }
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String comma = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(comma);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                comma = ",";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            String comma = "[";
            for (Object element : list) {
                out.append(comma);
                write(element, out);
                comma = ",";
            }
            out.append(list.isEmpty() ? "[]" : "]");
        } else if (value instanceof String text) {
            out.append('"');
            for (char c : text.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
