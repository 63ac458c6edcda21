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
 * Digests of records, with which a standby compares its replica with the leader's records. Records
 * are grouped into parts; the digest of a part is the number of its records and the sum of the
 * hashes of their keys with their revisions. The name of a part is the prefix that its keys share,
 * up to and including their first digit, so that a part that differs can be re-read on its own.
 *
 * <p>Not thread-safe: the owner synchronizes access.
 */
public final class RecordDigests {
    /** The digests of no records. Shared, so nothing may be added to it. */
    public static final RecordDigests EMPTY = new RecordDigests();

    /** The digest of one part. The sum of the hashes wraps around on overflow. */
    public record PartDigest(int recordCount, long hashSum) {
        static final PartDigest EMPTY = new PartDigest(0, 0);
    }

    private final Map<String, PartDigest> parts = new TreeMap<>();
    private final Set<String> partsBeingWritten = new HashSet<>();

    /** Computes the digests of the records of a replica. */
    public static RecordDigests of(KeyspaceReplica replica) {
        RecordDigests digests = new RecordDigests();
        for (KeyValueStore.Entry entry : replica.entries()) {
            digests.add(entry.key(), entry.revision());
        }
        return digests;
    }

    /** Creates the digests that another node sent. */
    public static RecordDigests of(Map<String, PartDigest> parts, Set<String> partsBeingWritten) {
        RecordDigests digests = new RecordDigests();
        digests.parts.putAll(parts);
        digests.partsBeingWritten.addAll(partsBeingWritten);
        return digests;
    }

    /**
     * Adds a record.
     *
     * @param revision the record's revision, or null while the record is being written; its part
     *     then cannot be compared
     */
    public void add(String key, Revision revision) {
        String part = partOf(key);
        if (revision == null) {
            partsBeingWritten.add(part);
            return;
        }
        Hasher64 hasher = Hashing.xxh3_64();
        long hash = hasher.hashStream().putString(key).putLong(revision.value()).getAsLong();
        PartDigest previous = parts.getOrDefault(part, PartDigest.EMPTY);
        parts.put(part, new PartDigest(previous.recordCount() + 1, previous.hashSum() + hash));
    }

    /**
     * Adds the records of a live job: its own and those of its shards that are stored or being
     * written.
     */
    public void addRecordsOf(Job job) {
        add(RecordKeys.job(job.id()), job.recordRevision());
        for (TaskShard shard : job.usedShards()) {
            if (shard.hasRecord() || shard.isWriteInFlight()) {
                add(
                        RecordKeys.taskShard(shard),
                        shard.isWriteInFlight() ? null : shard.recordRevision());
            }
        }
    }

    /** Adds the digests of parts that this object does not contain yet. */
    public void add(RecordDigests other) {
        parts.putAll(other.parts);
        partsBeingWritten.addAll(other.partsBeingWritten);
    }

    /** The digests by name of the part, sorted by name. */
    public Map<String, PartDigest> parts() {
        return parts;
    }

    /** The names of the parts with a record that is being written. */
    public Set<String> partsBeingWritten() {
        return partsBeingWritten;
    }

    /**
     * The names of the parts that differ, sorted; parts with a record that is being written are
     * left out.
     */
    public List<String> differingParts(RecordDigests other) {
        Set<String> allParts = new HashSet<>(parts.keySet());
        allParts.addAll(other.parts.keySet());
        List<String> differing = new ArrayList<>();
        for (String part : allParts) {
            if (!partsBeingWritten.contains(part)
                    && !other.partsBeingWritten.contains(part)
                    && !digestOf(part).equals(other.digestOf(part))) {
                differing.add(part);
            }
        }
        differing.sort(null);
        return differing;
    }

    private PartDigest digestOf(String part) {
        return parts.getOrDefault(part, PartDigest.EMPTY);
    }

    private static String partOf(String key) {
        int index = key.indexOf('/') + 1;
        while (index < key.length() && !Character.isDigit(key.charAt(index))) {
            index++;
        }
        return index == key.length()
                ? key.substring(0, key.indexOf('/') + 1)
                : key.substring(0, index + 1);
    }
}
