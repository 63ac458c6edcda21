package org.meadowhollow.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts JSON objects to and from maps with string keys. The values are such maps, lists,
 * strings, numbers ({@code Long} and {@code Double}), booleans and null. Used by the HTTP
 * interfaces for external clients (TES and reservations), the settings file and the command line;
 * the other protocols use {@link MessagePackCodec}. Stateless.
 */
public final class JsonCodec {
    /**
     * The maximum nesting depth, far deeper than that of any message of the protocols. At Jackson's
     * default of 1000, a malicious body would overflow the stack of a deployed node.
     */
    private static final int MAX_NESTING_DEPTH = 32;

    private static final JSON JACKSON =
            JSON.builder(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_NESTING_DEPTH)
                                                    .build())
                                    .build())
                    .build();

    private JsonCodec() {}

    /**
     * Decodes a JSON object that is nested at most 32 levels deep. Jackson limits the length of
     * numbers; the caller must limit the size of the body.
     *
     * @throws MalformedMessageException if the bytes are not a JSON object, if it is nested too
     *     deeply or contains a number that is too long, or if a string or key contains an unpaired
     *     surrogate
     */
    public static Map<String, Object> decode(byte[] bytes) throws MalformedMessageException {
        try {
            Map<String, Object> map = JACKSON.mapFrom(bytes);
            // Jackson returns null for the literal null.
            if (map != null) {
                return normalize(map);
            }
        } catch (IOException | ClassCastException malformed) {
            throw new MalformedMessageException("not a JSON object");
        } catch (IllegalArgumentException malformed) {
            throw new MalformedMessageException(malformed.getMessage());
        }
        throw new MalformedMessageException("not a JSON object");
    }

    /**
     * Encodes a map whose values have the types that {@link #decode} returns. Values of other types
     * are not rejected, unlike in {@link MessagePackCodec#encode}: Jackson chooses their form.
     */
    public static byte[] encode(Map<String, ?> map) {
        try {
            return JACKSON.asBytes(map);
        } catch (IOException impossible) {
            throw new IllegalStateException(
                    "encoding a map of plain values as JSON failed", impossible);
        }
    }

    /** Normalizes the values of a map, and rejects keys with unpaired surrogates. */
    private static Map<String, Object> normalize(Map<String, Object> map) {
        Map<String, Object> normalized = new LinkedHashMap<>();
        map.forEach((key, value) -> normalized.put(requirePairedSurrogates(key), normalize(value)));
        return normalized;
    }

    /** Rejects unpaired surrogates, which JSON can escape but UTF-8 cannot encode. */
    private static String requirePairedSurrogates(String text) {
        for (int at = 0; at < text.length(); at++) {
            char unit = text.charAt(at);
            boolean paired =
                    Character.isHighSurrogate(unit)
                            && at + 1 < text.length()
                            && Character.isLowSurrogate(text.charAt(at + 1));
            if (Character.isSurrogate(unit) && !paired) {
                throw new IllegalArgumentException("a text holds half of a character");
            }
            at += paired ? 1 : 0;
        }
        return text;
    }

    /**
     * Converts integers to long, also in nested maps and lists: Jackson returns int or long, and
     * callers expect long. Rejects strings with unpaired surrogates. An integer outside the range
     * of long stays a {@code BigInteger}.
     */
    @SuppressWarnings("unchecked")
    private static Object normalize(Object value) {
        if (value instanceof Integer number) {
            return number.longValue();
        }
        if (value instanceof String text) {
            return requirePairedSurrogates(text);
        }
        if (value instanceof Map<?, ?> map) {
            return normalize((Map<String, Object>) map);
        }
        if (value instanceof List<?> list) {
            return list.stream().map(JsonCodec::normalize).toList();
        }
        return value;
    }
}
