package org.meadowhollow.protocol;

import java.util.List;
import java.util.Map;

/**
 * A map whose values have all been decoded, for example from JSON.
 *
 * @param fields the fields, as {@link JsonCodec#decode} returns them
 */
record DecodedMap(Map<String, Object> fields) implements FieldSource {
    @Override
    public Object value(String name) {
        return toSource(fields.get(name));
    }

    @Override
    public Map<String, Object> decodeAll() {
        return fields;
    }

    @SuppressWarnings("unchecked") // The codecs decode maps with string keys.
    private static Object toSource(Object value) {
        if (value instanceof Map<?, ?> map) {
            return new DecodedMap((Map<String, Object>) map);
        }
        return value instanceof List<?> list
                ? list.stream().map(DecodedMap::toSource).toList()
                : value;
    }
}
