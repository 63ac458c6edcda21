package org.meadowhollow.storage;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore.Change;
import org.meadowhollow.storage.KeyValueStore.ChangeBatch;
import org.meadowhollow.storage.KeyValueStore.Entry;

/**
 * A replica of the records under a prefix as of a revision, with decoded values. It is filled from
 * pages and kept up to date with watched changes. Not thread-safe: the owner synchronizes access.
 */
public final class KeyspaceReplica {
    /** Estimated memory of a number, in bytes. */
    private static final int NUMBER_BYTES = 24;

    /** Estimated memory of a string without its characters, in bytes. */
    private static final int STRING_OVERHEAD_BYTES = 48;

    /**
     * Estimated memory of a map, of a list or of an entry of a map, without its contents, in bytes.
     */
    private static final int ITEM_OVERHEAD_BYTES = 40;

    private final String prefix;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private Revision revision;
    private long estimatedBytes;

    /**
     * Creates an empty replica.
     *
     * @param revision the revision of the first page; later changes are added with {@link
     *     #apply(ChangeBatch)}
     */
    public KeyspaceReplica(String prefix, Revision revision) {
        this.prefix = prefix;
        this.revision = revision;
    }

    /** The prefix of all keys. */
    public String prefix() {
        return prefix;
    }

    /** The revision up to which all changes are applied. */
    public Revision revision() {
        return revision;
    }

    /** The number of records. */
    public int size() {
        return entries.size();
    }

    /** The estimated memory that the records take, in bytes. */
    public long estimatedBytes() {
        return estimatedBytes;
    }

    /** All records in the order of their keys. */
    public Collection<Entry> entries() {
        return entries.values();
    }

    /** The records whose keys begin with {@code keyPrefix}, in the order of their keys. */
    public Collection<Entry> entries(String keyPrefix) {
        return entries.subMap(keyPrefix, keyPrefix + Character.MAX_VALUE).values();
    }

    /** Adds the records of a page. */
    public void addPage(List<Entry> page) {
        page.forEach(this::put);
    }

    /**
     * Applies the changes that follow {@link #revision}, except to records that a page already
     * contained in a newer revision.
     */
    public void apply(ChangeBatch changeBatch) {
        changeBatch.changes().forEach(this::apply);
        revision = changeBatch.revision();
    }

    private void apply(Change change) {
        Entry existing = entries.get(change.key());
        if (existing != null && existing.revision().isAfter(change.revision())) {
            return;
        }
        if (change.value() != null) {
            put(new Entry(change.key(), change.value(), change.revision()));
        } else if (existing != null) {
            remove(existing);
        }
    }

    /** Replaces the records whose keys begin with {@code keyPrefix} by newly read ones. */
    public void replacePrefix(String keyPrefix, List<Entry> entriesRead) {
        List.copyOf(entries(keyPrefix)).forEach(this::remove);
        addPage(entriesRead);
    }

    private void put(Entry entry) {
        Entry previous = entries.put(entry.key(), entry);
        estimatedBytes += estimateBytes(entry) - (previous == null ? 0 : estimateBytes(previous));
    }

    private void remove(Entry entry) {
        entries.remove(entry.key());
        estimatedBytes -= estimateBytes(entry);
    }

    private static long estimateBytes(Entry entry) {
        return STRING_OVERHEAD_BYTES
                + ITEM_OVERHEAD_BYTES
                + entry.key().length()
                + estimateBytes(entry.value());
    }

    private static long estimateBytes(Object value) {
        if (value instanceof Map<?, ?> map) {
            long sum = ITEM_OVERHEAD_BYTES;
            for (Object item : map.values()) {
                sum += ITEM_OVERHEAD_BYTES + estimateBytes(item);
            }
            return sum;
        }
        if (value instanceof List<?> list) {
            long sum = ITEM_OVERHEAD_BYTES;
            for (Object item : list) {
                sum += estimateBytes(item);
            }
            return sum;
        }
        return value instanceof String string
                ? STRING_OVERHEAD_BYTES + string.length()
                : NUMBER_BYTES;
    }
}
