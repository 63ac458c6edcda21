package org.meadowhollow.storage;

import java.util.LinkedHashMap;
import java.util.Map;
import org.meadowhollow.model.Revision;

/**
 * A compare-and-swap of several keys: the writes are applied together, or not at all if a key does
 * not have its required revision. A transaction is built by one thread and is not changed after it
 * is committed.
 */
public final class Transaction {
    /**
     * A write of one key.
     *
     * @param value the new value, or null to delete the key
     * @param lease the lease that the key is attached to, or null
     */
    public record Write(Map<String, Object> value, LeaseId lease) {}

    private final Map<String, Revision> conditions = new LinkedHashMap<>();
    private final Map<String, Write> writes = new LinkedHashMap<>();

    /**
     * Requires that a key has a given revision.
     *
     * @param revision the required revision; {@link Revision#ABSENT} requires that the key does not
     *     exist
     */
    public Transaction requireRevision(String key, Revision revision) {
        conditions.put(key, revision);
        return this;
    }

    /** Writes a value. */
    public Transaction put(String key, Map<String, Object> value) {
        writes.put(key, new Write(value, null));
        return this;
    }

    /** Writes a value that is deleted when the lease ends. */
    public Transaction put(String key, Map<String, Object> value, LeaseId lease) {
        writes.put(key, new Write(value, lease));
        return this;
    }

    /** Deletes a key, whether or not it exists. */
    public Transaction delete(String key) {
        writes.put(key, new Write(null, null));
        return this;
    }

    /** The required revisions by key, in the order in which they were added. */
    public Map<String, Revision> conditions() {
        return conditions;
    }

    /** The writes by key, in the order in which they were added. */
    public Map<String, Write> writes() {
        return writes;
    }
}
