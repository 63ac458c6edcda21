package org.meadowhollow.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the fields of a decoded map and checks their types. An absent field and a null value are
 * equivalent. The accessors throw a {@link MalformedMessageException} naming the field if the value
 * has another type or is out of range.
 */
public record MessageReader(Map<String, Object> map) {
    /** Returns a map of alternating keys and values, in the given order, for encoding. */
    public static Map<String, Object> mapOf(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>(pairs.length);
        for (int at = 0; at < pairs.length; at += 2) {
            map.put((String) pairs[at], pairs[at + 1]);
        }
        return map;
    }

    /** Decodes a MessagePack body that must consist of one map. */
    public static MessageReader decode(byte[] body) throws MalformedMessageException {
        return new MessageReader(MessagePackCodec.decode(body));
    }

    /** Returns whether the field is present and not null. */
    public boolean has(String key) {
        return map.get(key) != null;
    }

    /** Returns a required string. */
    public String string(String key) throws MalformedMessageException {
        return requirePresent(key, stringOrNull(key));
    }

    /** Returns a string, or null if it is absent. */
    public String stringOrNull(String key) throws MalformedMessageException {
        return valueOfType(key, String.class, "text");
    }

    /** Returns a required boolean. */
    public boolean booleanValue(String key) throws MalformedMessageException {
        return requirePresent(key, valueOfType(key, Boolean.class, "true or false"));
    }

    /** Returns a boolean, or a default if it is absent. */
    public boolean booleanOr(String key, boolean defaultValue) throws MalformedMessageException {
        Boolean flag = valueOfType(key, Boolean.class, "true or false");
        return flag == null ? defaultValue : flag;
    }

    /** Returns a required integer of at least 0. */
    public long nonNegativeLong(String key) throws MalformedMessageException {
        Object value = requirePresent(key, map.get(key));
        if (value instanceof Long number && number >= 0) {
            return number;
        }
        throw new MalformedMessageException(key + " is not a whole number from 0 on");
    }

    /** Returns a required number of at least 0 and less than 1e12. */
    public double nonNegativeDouble(String key) throws MalformedMessageException {
        double amount = nonNegativeDoubleOr(key, Double.NaN);
        requirePresent(key, Double.isNaN(amount) ? null : amount);
        return amount;
    }

    /** Returns a number of at least 0 and less than 1e12, or a default if it is absent. */
    public double nonNegativeDoubleOr(String key, double defaultValue)
            throws MalformedMessageException {
        Object value = map.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number) {
            double amount = number.doubleValue();
            if (amount >= 0 && amount < 1e12) {
                return amount;
            }
        }
        throw new MalformedMessageException(key + " is not an amount from 0 on");
    }

    /** Returns a reader of a required nested map. */
    public MessageReader nested(String key) throws MalformedMessageException {
        return toReader(key, requirePresent(key, map.get(key)));
    }

    /** Returns readers of the maps in a list; an absent list is empty. */
    public List<MessageReader> nestedList(String key) throws MalformedMessageException {
        List<MessageReader> all = new ArrayList<>();
        for (Object item : rawList(key)) {
            all.add(toReader(key, item));
        }
        return all;
    }

    /** Returns the strings in a list, or null if the list is absent. */
    public List<String> stringListOrNull(String key) throws MalformedMessageException {
        if (!has(key)) {
            return null;
        }
        List<String> all = new ArrayList<>();
        for (Object item : rawList(key)) {
            if (!(item instanceof String text)) {
                throw new MalformedMessageException(key + " holds something other than text");
            }
            all.add(text);
        }
        return all;
    }

    /** Returns a list of values of any type; an absent list is empty. */
    public List<?> rawList(String key) throws MalformedMessageException {
        List<?> list = valueOfType(key, List.class, "a list");
        return list == null ? List.of() : list;
    }

    @SuppressWarnings("unchecked")
    private static MessageReader toReader(String key, Object value)
            throws MalformedMessageException {
        if (value instanceof Map<?, ?> inner) {
            return new MessageReader((Map<String, Object>) inner);
        }
        throw new MalformedMessageException(key + " is not a map");
    }

    private <T> T valueOfType(String key, Class<T> type, String expectedType)
            throws MalformedMessageException {
        Object value = map.get(key);
        if (value == null || type.isInstance(value)) {
            return type.cast(value);
        }
        throw new MalformedMessageException(key + " is not " + expectedType);
    }

    private static <T> T requirePresent(String key, T value) throws MalformedMessageException {
        if (value == null) {
            throw new MalformedMessageException(key + " is missing");
        }
        return value;
    }
}
