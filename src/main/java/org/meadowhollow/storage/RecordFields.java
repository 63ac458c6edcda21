package org.meadowhollow.storage;

import java.util.List;
import java.util.Map;
import org.meadowhollow.model.Resources;

/**
 * Typed access to the fields of a stored record, and the encoding of fields that several kinds of
 * records share.
 */
final class RecordFields {
    private static final String CPU = "cpu";
    private static final String GPU = "gpu";
    private static final String MEMORY = "memory";

    private RecordFields() {}

    /** A string field; null if it is absent. */
    static String getString(Map<String, Object> fields, String name) {
        return (String) fields.get(name);
    }

    /** A numeric field; throws {@link NullPointerException} if it is absent. */
    static int getInt(Map<String, Object> fields, String name) {
        return getNumber(fields, name).intValue();
    }

    /** A numeric field; throws {@link NullPointerException} if it is absent. */
    static long getLong(Map<String, Object> fields, String name) {
        return getNumber(fields, name).longValue();
    }

    /** A numeric field; throws {@link NullPointerException} if it is absent. */
    static double getDouble(Map<String, Object> fields, String name) {
        return getNumber(fields, name).doubleValue();
    }

    /** A numeric field; NaN if it is absent. */
    static double getDoubleOrNan(Map<String, Object> fields, String name) {
        Number value = getNumber(fields, name);
        return value == null ? Double.NaN : value.doubleValue();
    }

    /** A boolean field; false if it is absent. */
    static boolean getBoolean(Map<String, Object> fields, String name) {
        return Boolean.TRUE.equals(fields.get(name));
    }

    /** A field with a list of strings; null if it is absent. */
    @SuppressWarnings("unchecked") // The store's codec decodes a list of strings as List<String>.
    static List<String> getStringList(Map<String, Object> fields, String name) {
        return (List<String>) fields.get(name);
    }

    /** Adds the three amounts of a resource vector, in millionths, to a record. */
    static void putResources(Map<String, Object> fields, Resources resources) {
        fields.put(CPU, resources.cpu());
        fields.put(GPU, resources.gpu());
        fields.put(MEMORY, resources.memory());
    }

    /** The resource vector of a record. */
    static Resources getResources(Map<String, Object> fields) {
        return new Resources(getLong(fields, CPU), getLong(fields, GPU), getLong(fields, MEMORY));
    }

    private static Number getNumber(Map<String, Object> fields, String name) {
        return (Number) fields.get(name);
    }
}
