package org.meadowhollow.protocol;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the fields of a received map and checks their types. An absent field and a null value are
 * equivalent, and a field that is not read has no effect, whatever its value. The accessors throw a
 * {@link MalformedMessageException} naming the field if the value has another type or is out of
 * range.
 */
public final class MessageReader {
    /**
     * The limit of a request's size in its JSON form, in bytes, which the protocol sets; the
     * MessagePack form may be larger or smaller.
     */
    public static final int MAX_REQUEST_JSON_BYTES = 64 * 1024;

    /**
     * The limit of a request's size in MessagePack, in bytes: the JSON limit, if each value is a
     * number of one digit, which takes two bytes as JSON with its separator, and up to nine here.
     */
    public static final int MAX_REQUEST_BYTES = MAX_REQUEST_JSON_BYTES / 2 * 9 + 64;

    /**
     * Larger amounts are read as this one, so that sums, and conversions to nanoseconds or
     * millionths, do not overflow. In seconds it is over 31 years.
     */
    private static final double MAX_AMOUNT = 1e9;

    private static final int UNSIGNED_BITS = 64;

    private final FieldSource fields;

    /** Creates a reader of decoded fields, as {@link JsonCodec#decode} returns them. */
    public MessageReader(Map<String, Object> fields) {
        this(new DecodedMap(fields));
    }

    private MessageReader(FieldSource fields) {
        this.fields = fields;
    }

    /** Returns a map of alternating keys and values, in the given order, for encoding. */
    public static Map<String, Object> mapOf(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>(pairs.length);
        for (int at = 0; at < pairs.length; at += 2) {
            map.put((String) pairs[at], pairs[at + 1]);
        }
        return map;
    }

    /** Returns a reader of a MessagePack body, which must be one map and may have any size. */
    public static MessageReader decode(byte[] body) throws MalformedMessageException {
        return new MessageReader(EncodedMap.ofBody(body));
    }

    /**
     * Returns a reader of the MessagePack body of a request, which must be one map and may have at
     * most {@link #MAX_REQUEST_JSON_BYTES}.
     */
    public static MessageReader decodeRequest(byte[] body) throws MalformedMessageException {
        return new MessageReader(EncodedMap.ofBody(body, MAX_REQUEST_JSON_BYTES));
    }

    /** Returns all fields decoded, in the order of the message. */
    public Map<String, Object> map() throws MalformedMessageException {
        return fields.decodeAll();
    }

    /** Returns whether the field is present and not null. */
    public boolean has(String key) throws MalformedMessageException {
        return fields.value(key) != null;
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

    /** Returns a required integer from 0 to 2^63 - 1. */
    public long nonNegativeLong(String key) throws MalformedMessageException {
        Object value = requirePresent(key, fields.value(key));
        if (value instanceof Long number && number >= 0) {
            return number;
        }
        throw new MalformedMessageException(key + " is not a whole number from 0 on");
    }

    /** Returns a required integer from 0 to 2^64 - 1, as the bits of a long. */
    public long unsignedLong(String key) throws MalformedMessageException {
        Object value = requirePresent(key, fields.value(key));
        if (value instanceof BigInteger number
                && number.signum() >= 0
                && number.bitLength() <= UNSIGNED_BITS) {
            return number.longValue();
        }
        return nonNegativeLong(key);
    }

    /** Returns a required finite number of at least 0, or 1e9 for any larger one. */
    public double nonNegativeDouble(String key) throws MalformedMessageException {
        double amount = nonNegativeDoubleOr(key, Double.NaN);
        requirePresent(key, Double.isNaN(amount) ? null : amount);
        return amount;
    }

    /**
     * Returns a finite number of at least 0, or 1e9 for any larger one; a default if it is absent.
     */
    public double nonNegativeDoubleOr(String key, double defaultValue)
            throws MalformedMessageException {
        Object value = fields.value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number) {
            double amount = number.doubleValue();
            if (amount >= 0 && amount < Double.POSITIVE_INFINITY) {
                return Math.min(amount, MAX_AMOUNT);
            }
        }
        throw new MalformedMessageException(key + " is not an amount from 0 on");
    }

    /** Returns a reader of a required nested map. */
    public MessageReader nested(String key) throws MalformedMessageException {
        return toReader(key, requirePresent(key, fields.value(key)));
    }

    /** Returns readers of the maps in a list; an absent list is empty. */
    public List<MessageReader> nestedList(String key) throws MalformedMessageException {
        List<MessageReader> all = new ArrayList<>();
        List<?> list = valueOfType(key, List.class, "a list");
        if (list != null) {
            for (Object item : list) {
                all.add(toReader(key, item));
            }
        }
        return all;
    }

    /** Returns the strings in a required list. */
    public List<String> stringList(String key) throws MalformedMessageException {
        return requirePresent(key, stringListOrNull(key));
    }

    /** Returns the strings in a list, or null if the list is absent. */
    public List<String> stringListOrNull(String key) throws MalformedMessageException {
        List<?> list = valueOfType(key, List.class, "a list");
        if (list == null) {
            return null;
        }
        List<String> all = new ArrayList<>();
        for (Object item : list) {
            if (!(item instanceof String text)) {
                throw new MalformedMessageException(key + " holds something other than text");
            }
            all.add(text);
        }
        return all;
    }

    private static MessageReader toReader(String key, Object value)
            throws MalformedMessageException {
        if (value instanceof FieldSource nested) {
            return new MessageReader(nested);
        }
        throw new MalformedMessageException(key + " is not a map");
    }

    private <T> T valueOfType(String key, Class<T> type, String expectedType)
            throws MalformedMessageException {
        Object value = fields.value(key);
        if (value == null || type.isInstance(value)) {
            return type.cast(value);
        }
        throw new MalformedMessageException(key + " is not " + expectedType);
    }

    private static <T> T requirePresent(String key, T value) throws MalformedMessageException {
        if (value == null) {
            throw new MalformedMessageException(
                    MalformedMessageException.Defect.FIELD_MISSING, key + " is missing");
        }
        return value;
    }

    @Override
    public String toString() {
        return "MessageReader[" + fields + "]";
    }
}
