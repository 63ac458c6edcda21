package org.meadowhollow.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.protocol.MalformedMessageException.Defect;

/**
 * Converts JSON objects to and from maps with string keys. The values are such maps, lists,
 * strings, numbers ({@code Long}, {@code BigInteger} and {@code Double}), booleans and null. Used
 * by the HTTP interfaces for external clients (TES and reservations), the settings file and the
 * command line; the other protocols use {@link MessagePackCodec}. Stateless.
 */
public final class JsonCodec {
    /**
     * The depth down to which values are decoded; no message of the protocols is nested as deeply.
     * The recursion of a deeper one could overflow the stack of a deployed node.
     */
    private static final int MAX_DECODED_DEPTH = 32;

    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(Integer.MAX_VALUE)
                                    .maxNumberLength(Integer.MAX_VALUE)
                                    .maxNameLength(Integer.MAX_VALUE)
                                    .build())
                    .build();

    private static final JSON JACKSON = JSON.builder(FACTORY).build();

    private JsonCodec() {}

    /**
     * Decodes a JSON object. Maps and lists that are nested more than 32 levels deep are skipped,
     * and appear as null. The caller must limit the size of the body.
     *
     * @throws MalformedMessageException if the bytes are not a JSON object, or if a string or key
     *     contains an unpaired surrogate
     */
    public static Map<String, Object> decode(byte[] bytes) throws MalformedMessageException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw notAnObject();
            }
            return decodeObject(parser, 1);
        } catch (JsonProcessingException malformed) {
            throw new MalformedMessageException(
                    Defect.NOT_JSON,
                    "not a JSON object: error at byte " + malformed.getLocation().getByteOffset());
        } catch (IOException malformed) {
            throw notAnObject();
        }
    }

    private static MalformedMessageException notAnObject() {
        return new MalformedMessageException(Defect.NOT_JSON, "not a JSON object");
    }

    private static Map<String, Object> decodeObject(JsonParser parser, int depth)
            throws IOException, MalformedMessageException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = requirePairedSurrogates(parser.currentName());
            parser.nextToken();
            map.put(key, decodeValue(parser, depth + 1));
        }
        return map;
    }

    private static List<Object> decodeArray(JsonParser parser, int depth)
            throws IOException, MalformedMessageException {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            list.add(decodeValue(parser, depth + 1));
        }
        return list;
    }

    private static Object decodeValue(JsonParser parser, int depth)
            throws IOException, MalformedMessageException {
        if (depth > MAX_DECODED_DEPTH && parser.currentToken().isStructStart()) {
            parser.skipChildren();
            if (parser.currentToken() == null || !parser.currentToken().isStructEnd()) {
                throw notAnObject();
            }
            return null;
        }
        return switch (parser.currentToken()) {
            case START_OBJECT -> decodeObject(parser, depth);
            case START_ARRAY -> decodeArray(parser, depth);
            case VALUE_STRING -> requirePairedSurrogates(parser.getText());
            case VALUE_NUMBER_INT -> decodeInteger(parser);
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_NULL -> null;
            default -> throw notAnObject();
        };
    }

    /** Decodes an integer as a long, or as a {@link BigInteger} outside the range of long. */
    private static Number decodeInteger(JsonParser parser) throws IOException {
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? parser.getBigIntegerValue()
                : (Number) parser.getLongValue();
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

    /** Rejects unpaired surrogates, which JSON can escape but UTF-8 cannot encode. */
    private static String requirePairedSurrogates(String text) throws MalformedMessageException {
        for (int at = 0; at < text.length(); at++) {
            char unit = text.charAt(at);
            boolean paired =
                    Character.isHighSurrogate(unit)
                            && at + 1 < text.length()
                            && Character.isLowSurrogate(text.charAt(at + 1));
            if (Character.isSurrogate(unit) && !paired) {
                throw new MalformedMessageException(
                        Defect.NOT_JSON, "a text holds half of a character");
            }
            at += paired ? 1 : 0;
        }
        return text;
    }
}
