package org.meadowhollow.storage;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.TaskShard;

/**
 * Digests of records by part: how many there are, and a sum over the hashes of their keys with
 * their versions. A part is named by what its keys begin with, up to their first digit, so that it
 * can be read again by itself.
 */
public final class RecordDigests {
    public static final RecordDigests EMPTY = new RecordDigests();

    /** One part's digest. */
    public record PartDigest(int recordCount, long hashSum) {
        static final PartDigest EMPTY = new PartDigest(0, 0);
    }

    private final Map<String, PartDigest> parts = new TreeMap<>();
    private final Set<String> partsBeingWritten = new HashSet<>();

    public static RecordDigests of(KeyspaceReplica image) {
        RecordDigests recordDigests = new RecordDigests();
        for (KeyValueStore.Entry entry : image.entries()) {
            recordDigests.add(entry.key(), entry.revision());
        }
        return recordDigests;
    }

    /** Of parts as another node gave them. */
    public static RecordDigests of(Map<String, PartDigest> parts, Set<String> unsettled) {
        RecordDigests recordDigests = new RecordDigests();
        recordDigests.parts.putAll(parts);
        recordDigests.partsBeingWritten.addAll(unsettled);
        return recordDigests;
    }

    /**
     * @param revision null while a write is under way, so that nothing can be said of the part
     */
    public void add(String key, Revision revision) {
        String part = partOf(key);
        if (revision == null) {
            partsBeingWritten.add(part);
            return;
        }
        Hasher64 hasher = Hashing.xxh3_64();
        long hash = hasher.hashStream().putString(key).putLong(revision.value()).getAsLong();
        PartDigest before = parts.getOrDefault(part, PartDigest.EMPTY);
        parts.put(part, new PartDigest(before.recordCount() + 1, before.hashSum() + hash));
    }

    /**
     * Adds the records of a live job: its own and those of its shards that are stored or being
     * written.
     */
    public void addRecordsOf(Job job) {
        add(RecordKeys.job(job.id()), job.recordRevision());
        for (int at = 0; at < job.shardCount(); at++) {
            if (job.hasPersistedShard(at) || job.shard(at).inFlight()) {
                TaskShard shard = job.shard(at);
                add(RecordKeys.taskShard(shard), shard.inFlight() ? null : shard.recordRevision());
            }
        }
    }

    /** Adds the digests of other parts. */
    public void add(RecordDigests other) {
        parts.putAll(other.parts);
        partsBeingWritten.addAll(other.partsBeingWritten);
    }

    public Map<String, PartDigest> parts() {
        return parts;
    }

    public Set<String> partsBeingWritten() {
        return partsBeingWritten;
    }

    /** The parts that are not the same here and there, as far as both can tell. */
    public List<String> differingParts(RecordDigests other) {
        Set<String> all = new HashSet<>(parts.keySet());
        all.addAll(other.parts.keySet());
        List<String> differing = new ArrayList<>();
        for (String part : all) {
            if (!partsBeingWritten.contains(part)
                    && !other.partsBeingWritten.contains(part)
                    && !parts.getOrDefault(part, PartDigest.EMPTY)
                            .equals(other.parts.getOrDefault(part, PartDigest.EMPTY))) {
                differing.add(part);
            }
        }
        differing.sort(null);
        return differing;
    }

    private static String partOf(String key) {
        int at = key.indexOf('/') + 1;
        while (at < key.length() && !Character.isDigit(key.charAt(at))) {
            at++;
        }
        return at == key.length()
                ? key.substring(0, key.indexOf('/') + 1)
                : key.substring(0, at + 1);
    }
}
