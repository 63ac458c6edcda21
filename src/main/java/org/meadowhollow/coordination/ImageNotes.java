package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.coordination.platform.Platform;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.RecordCodec;
import org.meadowhollow.storage.Transaction;

/**
 * Notes in the state service which machines have which image cached, for no report tells, and a
 * successor that does not know fetches everything anew. Only hints: a note that is late or wrong
 * costs a fetch, no more.
 */
final class ImageNotes {
    /**
     * How much a takeover forgets at most; each change costs a write, and most images change all
     * the time.
     */
    private static final Duration EVERY = Duration.ofSeconds(10);

    /** Bytes of a transaction: the protocol's 64 KiB, less room for framing. */
    private static final int MOST_BYTES = 48 * 1024;

    private final KeyValueStore store;
    private final Revision leaderVersion;
    private final int mostWrites;
    private final int valueBytes;
    private final Map<String, Double> sizes = new HashMap<>();
    private final Set<String> changed = new LinkedHashSet<>();

    /** What a predecessor noted of machines that this leader has not met yet. */
    private final Map<MachineId, Map<String, Double>> noted = new HashMap<>();

    private MonotonicTime writtenAt;
    private boolean writing;

    ImageNotes(KeyValueStore store, Revision leaderVersion, Platform platform) {
        this.store = store;
        this.leaderVersion = leaderVersion;
        this.mostWrites = platform.txnOps();
        this.valueBytes = platform.valueBytes();
    }

    /**
     * Takes in what a predecessor noted; what its machines do not have any more is put right later.
     */
    void load(List<KeyValueStore.Entry> entries, MonotonicTime now) {
        // By the first write all live machines have reported.
        writtenAt = now;
        for (KeyValueStore.Entry entry : entries) {
            String image = RecordCodec.imageOfKey(entry.key());
            double gb = RecordCodec.imageSizeGbOf(entry.value());
            sizes.put(image, gb);
            changed.add(image);
            for (MachineId machine : RecordCodec.machinesWithImage(entry.value())) {
                noted.computeIfAbsent(machine, unused -> new HashMap<>()).put(image, gb);
            }
        }
    }

    /** Fills in what was noted of a machine that is new to this leader. */
    void met(Machine machine) {
        Map<String, Double> images = noted.remove(machine.id());
        if (images != null) {
            images.forEach((image, gb) -> has(machine, image, gb));
        }
    }

    /** Notes that a machine has an image. */
    void has(Machine machine, String image, double gb) {
        boolean isNew = !machine.imageCache().contains(image);
        machine.imageCache().recordUse(image, gb);
        if (isNew && RecordCodec.isImageKey(image)) {
            sizes.put(image, gb);
            changed.add(image);
        }
    }

    /** Writes what has changed, now and then, as far as one transaction goes. */
    void write(Collection<Machine> machines, MonotonicTime now) {
        if (writing
                || changed.isEmpty()
                || writtenAt != null && now.elapsedSince(writtenAt).compareTo(EVERY) < 0) {
            return;
        }
        Transaction transaction =
                new Transaction().requireRevision(RecordCodec.LEADER_KEY, leaderVersion);
        int bytes = 0;
        for (Iterator<String> images = changed.iterator();
                images.hasNext() && transaction.writes().size() < mostWrites; ) {
            String image = images.next();
            List<MachineId> having = new ArrayList<>();
            for (Machine machine : machines) {
                if (machine.imageCache().contains(image)) {
                    having.add(machine.id());
                }
            }
            RecordCodec.ImageLocationsRecord record =
                    RecordCodec.encodeImageLocations(sizes.get(image), having, valueBytes);
            bytes += record.estimatedBytes();
            if (bytes > MOST_BYTES && !transaction.writes().isEmpty()) {
                break;
            }
            images.remove();
            if (having.isEmpty()) {
                transaction.delete(RecordCodec.imageKey(image));
                sizes.remove(image);
            } else {
                transaction.put(RecordCodec.imageKey(image), record.fields());
            }
        }
        // The pause begins once all is written.
        writtenAt = changed.isEmpty() ? now : writtenAt;
        writing = true;
        store.commit(transaction, RequestPriority.BACKGROUND)
                .whenComplete((commitResult, failure) -> writing = false);
    }
}
