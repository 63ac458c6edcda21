package org.meadowhollow.storage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * Computes the size of records in their JSON form, in which the key-value store counts its limits.
 */
public final class JsonSize {
    /** The brackets of a list or map, or the quotation marks of a text. */
    private static final int DELIMITERS_BYTES = 2;

    /** A comma or a colon. */
    private static final int SEPARATOR_BYTES = 1;

    /** The longest form of a control character. */
    private static final int ESCAPED_CONTROL_BYTES = 6;

    private JsonSize() {}

    /** Returns the size in bytes of a value of a record. */
    public static long of(Object value) {
        if (value instanceof String text) {
            return ofText(text);
        }
        if (value instanceof List<?> list) {
            return DELIMITERS_BYTES
                    + list.stream().mapToLong(item -> of(item) + SEPARATOR_BYTES).sum();
        }
        if (value instanceof Map<?, ?> map) {
            return DELIMITERS_BYTES + map.entrySet().stream().mapToLong(JsonSize::ofEntry).sum();
        }
        return String.valueOf(value).length();
    }

    private static long ofEntry(Map.Entry<?, ?> entry) {
        return of(entry.getKey()) + of(entry.getValue()) + 2 * SEPARATOR_BYTES;
    }

    private static long ofText(String text) {
        long escapes =
                text.chars()
                        .mapToLong(
                                unit -> {
                                    if (unit < ' ') {
                                        return ESCAPED_CONTROL_BYTES - 1;
                                    }
                                    return unit == '"' || unit == '\\' ? 1 : 0;
                                })
                        .sum();
        return DELIMITERS_BYTES + text.getBytes(StandardCharsets.UTF_8).length + escapes;
    }
}
