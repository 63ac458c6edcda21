package org.meadowhollow.storage;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore.Change;
import org.meadowhollow.storage.KeyValueStore.ChangeBatch;
import org.meadowhollow.storage.KeyValueStore.Entry;

/** The records under a prefix as they stood at a revision, decoded. Guarded by whoever keeps it. */
public final class KeyspaceReplica {
    /** About what a number, a text and an item of a map or list take in memory, in bytes. */
    private static final int NUMBER_BYTES = 24;

    private static final int TEXT_BYTES = 48;
    private static final int ITEM_BYTES = 40;

    private final String prefix;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private Revision revision;
    private long estimatedBytes;

    /**
     * @param revision as of the first page that is going to be added, since what changed after it
     *     is told by changes
     */
    public KeyspaceReplica(String prefix, Revision revision) {
        this.prefix = prefix;
        this.revision = revision;
    }

    public String prefix() {
        return prefix;
    }

    /** All changes up to this one are in. */
    public Revision revision() {
        return revision;
    }

    public int size() {
        return entries.size();
    }

    /** About what the records take in memory, in bytes. */
    public long estimatedBytes() {
        return estimatedBytes;
    }

    /** In the order of their keys. */
    public Collection<Entry> entries() {
        return entries.values();
    }

    /** Those whose keys begin with some text. */
    public Collection<Entry> entries(String beginning) {
        return entries.subMap(beginning, beginning + Character.MAX_VALUE).values();
    }

    public void addPage(List<Entry> page) {
        page.forEach(this::put);
    }

    /** Takes in changes that follow the revision; what a later page already had is not undone. */
    public void apply(ChangeBatch changeBatch) {
        for (Change change : changeBatch.changes()) {
            Entry known = entries.get(change.key());
            if (known != null && known.revision().isAfter(change.revision())) {
                continue;
            }
            if (change.value() != null) {
                put(new Entry(change.key(), change.value(), change.revision()));
            } else if (known != null) {
                entries.remove(change.key());
                estimatedBytes -= estimateBytes(known);
            }
        }
        revision = changeBatch.revision();
    }

    /** Puts what was read anew in the place of the records whose keys begin with some text. */
    public void replacePrefix(String beginning, List<Entry> read) {
        List.copyOf(entries(beginning))
                .forEach(
                        entry -> {
                            entries.remove(entry.key());
                            estimatedBytes -= estimateBytes(entry);
                        });
        addPage(read);
    }

    private void put(Entry entry) {
        Entry before = entries.put(entry.key(), entry);
        estimatedBytes += estimateBytes(entry) - (before == null ? 0 : estimateBytes(before));
    }

    private static long estimateBytes(Entry entry) {
        return TEXT_BYTES + ITEM_BYTES + entry.key().length() + estimateBytes(entry.value());
    }

    private static long estimateBytes(Object value) {
        if (value instanceof Map<?, ?> map) {
            long sum = ITEM_BYTES;
            for (Map.Entry<?, ?> item : map.entrySet()) {
                sum += ITEM_BYTES + estimateBytes(item.getValue());
            }
            return sum;
        }
        if (value instanceof List<?> list) {
            long sum = ITEM_BYTES;
            for (Object item : list) {
                sum += estimateBytes(item);
            }
            return sum;
        }
        return value instanceof String text ? TEXT_BYTES + text.length() : NUMBER_BYTES;
    }
}
