package org.meadowhollow.storage;

import java.util.LinkedHashMap;
import java.util.Map;
import org.meadowhollow.model.Revision;

/**
 * Changes that happen together, or not at all if a guarded key has another version than expected.
 */
public final class Transaction {
    /** A value to put under a key, attached to a lease or not; a null value removes the key. */
    public record Write(Map<String, Object> value, LeaseId lease) {}

    private final Map<String, Revision> conditions = new LinkedHashMap<>();
    private final Map<String, Write> writes = new LinkedHashMap<>();

    public Transaction requireRevision(String key, Revision revision) {
        conditions.put(key, revision);
        return this;
    }

    public Transaction put(String key, Map<String, Object> value) {
        writes.put(key, new Write(value, null));
        return this;
    }

    public Transaction put(String key, Map<String, Object> value, LeaseId lease) {
        writes.put(key, new Write(value, lease));
        return this;
    }

    public Transaction delete(String key) {
        writes.put(key, new Write(null, null));
        return this;
    }

    public Map<String, Revision> conditions() {
        return conditions;
    }

    public Map<String, Write> writes() {
        return writes;
    }
}
