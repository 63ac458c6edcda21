package org.meadowhollow.coordination.lifecycle;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.ImageLocationsCodec;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.RecordKeys;
import org.meadowhollow.storage.Transaction;

/**
 * Records in the key-value store which machines have which container images cached. No heartbeat
 * reports the cached images, and a successor without these records would pull all images again. The
 * records are hints: a late or wrong one only costs an image pull. Guarded by the leader's lock,
 * except for the flag that a write is in flight, which is cleared when the store responds.
 */
public final class ImageCacheRecorder {
    /**
     * Minimum time between two writes, and so the age of the changes that a failover can lose. Each
     * change costs a write, and most images change all the time.
     */
    private static final Duration WRITE_INTERVAL = Duration.ofSeconds(10);

    /**
     * Maximum size of a transaction in bytes: the protocol's limit of 64 KiB less a reserve for
     * framing.
     */
    private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

    private final KeyValueStore store;
    private final Revision leaderKeyRevision;
    private final int maxWrites;
    private final int maxValueBytes;
    private final Map<String, Double> imageSizesGb = new HashMap<>();
    private final Set<String> changedImages = new LinkedHashSet<>();

    /** Images that a predecessor recorded for machines that are not registered here yet. */
    private final Map<MachineId, Map<String, Double>> recordedByPredecessor = new HashMap<>();

    private MonotonicTime lastWrittenAt;
    private boolean writeInFlight;

    /** Creates a recorder for the leader that wrote the leader record at a revision. */
    public ImageCacheRecorder(
            KeyValueStore store,
            Revision leaderKeyRevision,
            DeploymentSettings deploymentSettings) {
        this.store = store;
        this.leaderKeyRevision = leaderKeyRevision;
        this.maxWrites = deploymentSettings.maxTransactionOperations();
        this.maxValueBytes = deploymentSettings.maxValueBytes();
    }

    /**
     * Restores the image caches that a predecessor recorded. All restored images are written again
     * later, which corrects entries that are no longer true.
     */
    public void restore(List<KeyValueStore.Entry> entries, MonotonicTime now) {
        // The first write waits for a whole interval, in which all live machines send a heartbeat.
        lastWrittenAt = now;
        for (KeyValueStore.Entry entry : entries) {
            String image = RecordKeys.imageOfKey(entry.key());
            double gb = ImageLocationsCodec.sizeGbOf(entry.value());
            imageSizesGb.put(image, gb);
            changedImages.add(image);
            for (MachineId machine : ImageLocationsCodec.machinesOf(entry.value())) {
                recordedByPredecessor
                        .computeIfAbsent(machine, unused -> new HashMap<>())
                        .put(image, gb);
            }
        }
    }

    /** Restores the image cache of a machine that is new to this leader. */
    public void onMachineRegistered(Machine machine) {
        Map<String, Double> images = recordedByPredecessor.remove(machine.id());
        if (images != null) {
            images.forEach((image, gb) -> recordCachedImage(machine, image, gb));
        }
    }

    /**
     * Records that a machine has an image cached.
     *
     * @param gb the size of the image in gigabytes
     */
    public void recordCachedImage(Machine machine, String image, double gb) {
        boolean isNew = !machine.imageCache().contains(image);
        machine.imageCache().recordUse(image, gb);
        if (isNew && RecordKeys.isValidImageKey(image)) {
            imageSizesGb.put(image, gb);
            changedImages.add(image);
        }
    }

    /**
     * Writes the changed records in one transaction, unless a write is in flight or the last one
     * was made within the interval. A failed transaction is not sent again.
     */
    public void writeIfDue(Collection<Machine> machines, MonotonicTime now) {
        if (writeInFlight
                || changedImages.isEmpty()
                || (lastWrittenAt != null
                        && now.elapsedSince(lastWrittenAt).compareTo(WRITE_INTERVAL) < 0)) {
            return;
        }
        Transaction transaction = collectChanges(machines);
        // The interval starts only once all changes are written.
        lastWrittenAt = changedImages.isEmpty() ? now : lastWrittenAt;
        writeInFlight = true;
        var unusedCommit =
                store.commit(transaction, RequestPriority.BACKGROUND)
                        .whenComplete((commitResult, failure) -> writeInFlight = false);
    }

    /** Moves as many changes as fit into one transaction. */
    private Transaction collectChanges(Collection<Machine> machines) {
        Transaction transaction =
                new Transaction().requireRevision(RecordKeys.LEADER_KEY, leaderKeyRevision);
        int bytes = 0;
        for (Iterator<String> images = changedImages.iterator();
                images.hasNext() && transaction.writes().size() < maxWrites; ) {
            String image = images.next();
            List<MachineId> machineIds = machinesWithImage(machines, image);
            ImageLocationsCodec.EncodedImageLocations record =
                    ImageLocationsCodec.encode(imageSizesGb.get(image), machineIds, maxValueBytes);
            bytes += record.estimatedBytes();
            if (bytes > MAX_TRANSACTION_BYTES && !transaction.writes().isEmpty()) {
                break;
            }
            images.remove();
            if (machineIds.isEmpty()) {
                transaction.delete(RecordKeys.image(image));
                imageSizesGb.remove(image);
            } else {
                transaction.put(RecordKeys.image(image), record.fields());
            }
        }
        return transaction;
    }

    private static List<MachineId> machinesWithImage(Collection<Machine> machines, String image) {
        List<MachineId> machineIds = new ArrayList<>();
        for (Machine machine : machines) {
            if (machine.imageCache().contains(image)) {
                machineIds.add(machine.id());
            }
        }
        return machineIds;
    }
}
