package org.meadowhollow.bookkeeping;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.meadowhollow.bookkeeping.StateStore.Change;
import org.meadowhollow.bookkeeping.StateStore.Changes;
import org.meadowhollow.bookkeeping.StateStore.Entry;

/** The records under a prefix as they stood at a revision, decoded. Guarded by whoever keeps it. */
public final class RecordImage {
    /** About what a number, a text and an item of a map or list take in memory, in bytes. */
    private static final int NUMBER = 24;

    private static final int TEXT = 48;
    private static final int ITEM = 40;

    private final String prefix;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private Version revision;
    private long bytes;

    /**
     * @param revision as of the first page that is going to be added, since what changed after it
     *     is told by changes
     */
    public RecordImage(String prefix, Version revision) {
        this.prefix = prefix;
        this.revision = revision;
    }

    public String prefix() {
        return prefix;
    }

    /** All changes up to this one are in. */
    public Version revision() {
        return revision;
    }

    public int size() {
        return entries.size();
    }

    /** About what the records take in memory, in bytes. */
    public long bytes() {
        return bytes;
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
    public void apply(Changes changes) {
        for (Change change : changes.changes()) {
            Entry known = entries.get(change.key());
            if (known != null && known.version().isAfter(change.version())) {
                continue;
            }
            if (change.value() != null) {
                put(new Entry(change.key(), change.value(), change.version()));
            } else if (known != null) {
                entries.remove(change.key());
                bytes -= weight(known);
            }
        }
        revision = changes.revision();
    }

    /** Puts what was read anew in the place of the records whose keys begin with some text. */
    public void replace(String beginning, List<Entry> read) {
        List.copyOf(entries(beginning))
                .forEach(
                        entry -> {
                            entries.remove(entry.key());
                            bytes -= weight(entry);
                        });
        addPage(read);
    }

    private void put(Entry entry) {
        Entry before = entries.put(entry.key(), entry);
        bytes += weight(entry) - (before == null ? 0 : weight(before));
    }

    private static long weight(Entry entry) {
        return TEXT + ITEM + entry.key().length() + weight(entry.value());
    }

    private static long weight(Object value) {
        if (value instanceof Map<?, ?> map) {
            long sum = ITEM;
            for (Map.Entry<?, ?> item : map.entrySet()) {
                sum += ITEM + weight(item.getValue());
            }
            return sum;
        }
        if (value instanceof List<?> list) {
            long sum = ITEM;
            for (Object item : list) {
                sum += weight(item);
            }
            return sum;
        }
        return value instanceof String text ? TEXT + text.length() : NUMBER;
    }
}
