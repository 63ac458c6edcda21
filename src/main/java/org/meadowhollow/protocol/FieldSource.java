package org.meadowhollow.protocol;

import java.util.Map;

/** The fields of one map of a message, whatever the format that it was received in. */
interface FieldSource {
    /**
     * Returns the value of a field: a string, a number, a boolean, a list of such values, or
     * another source for a map; null if the field is absent or null.
     *
     * @throws MalformedMessageException if a key of the map is not text
     */
    Object value(String name) throws MalformedMessageException;

    /**
     * Returns all fields, with maps and lists in them as {@link Map} and {@link java.util.List}.
     *
     * @throws MalformedMessageException if a key of any of the maps is not text
     */
    Map<String, Object> decodeAll() throws MalformedMessageException;
}
