package org.meadowhollow.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Checked access to the fields of a decoded map. An absent field equals null. */
public record Fields(Map<String, Object> map) {
    /** Starts a map to be sent, filled by pairs of key and value. */
    public static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>(pairs.length);
        for (int at = 0; at < pairs.length; at += 2) {
            map.put((String) pairs[at], pairs[at + 1]);
        }
        return map;
    }

    public static Fields decode(byte[] body) throws Malformed {
        return new Fields(Wire.decode(body));
    }

    public boolean has(String key) {
        return map.get(key) != null;
    }

    public String text(String key) throws Malformed {
        return present(key, textOrNull(key));
    }

    public String textOrNull(String key) throws Malformed {
        return typed(key, String.class, "text");
    }

    public boolean flag(String key) throws Malformed {
        return present(key, typed(key, Boolean.class, "true or false"));
    }

    public boolean flagOr(String key, boolean otherwise) throws Malformed {
        Boolean flag = typed(key, Boolean.class, "true or false");
        return flag == null ? otherwise : flag;
    }

    public long count(String key) throws Malformed {
        Object value = present(key, map.get(key));
        if (value instanceof Long number && number >= 0) {
            return number;
        }
        throw new Malformed(key + " is not a whole number from 0 on");
    }

    /** A decimal amount that is finite and not negative. */
    public double amount(String key) throws Malformed {
        double amount = amountOr(key, Double.NaN);
        present(key, Double.isNaN(amount) ? null : amount);
        return amount;
    }

    public double amountOr(String key, double otherwise) throws Malformed {
        Object value = map.get(key);
        if (value == null) {
            return otherwise;
        }
        if (value instanceof Number number) {
            double amount = number.doubleValue();
            if (amount >= 0 && amount < 1e12) {
                return amount;
            }
        }
        throw new Malformed(key + " is not an amount from 0 on");
    }

    public Fields fields(String key) throws Malformed {
        return wrap(key, present(key, map.get(key)));
    }

    /** The maps in a list; an absent list is empty. */
    public List<Fields> list(String key) throws Malformed {
        List<Fields> all = new ArrayList<>();
        for (Object item : items(key)) {
            all.add(wrap(key, item));
        }
        return all;
    }

    /** The texts in a list; null when the list is absent. */
    public List<String> textsOrNull(String key) throws Malformed {
        if (!has(key)) {
            return null;
        }
        List<String> all = new ArrayList<>();
        for (Object item : items(key)) {
            if (!(item instanceof String text)) {
                throw new Malformed(key + " holds something other than text");
            }
            all.add(text);
        }
        return all;
    }

    public List<?> items(String key) throws Malformed {
        List<?> list = typed(key, List.class, "a list");
        return list == null ? List.of() : list;
    }

    @SuppressWarnings("unchecked")
    private static Fields wrap(String key, Object value) throws Malformed {
        if (value instanceof Map<?, ?> inner) {
            return new Fields((Map<String, Object>) inner);
        }
        throw new Malformed(key + " is not a map");
    }

    private <T> T typed(String key, Class<T> type, String what) throws Malformed {
        Object value = map.get(key);
        if (value == null || type.isInstance(value)) {
            return type.cast(value);
        }
        throw new Malformed(key + " is not " + what);
    }

    private static <T> T present(String key, T value) throws Malformed {
        if (value == null) {
            throw new Malformed(key + " is missing");
        }
        return value;
    }
}
