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
import org.meadowhollow.bookkeeping.Machine;
import org.meadowhollow.bookkeeping.MachineId;
import org.meadowhollow.bookkeeping.Moment;
import org.meadowhollow.bookkeeping.Records;
import org.meadowhollow.bookkeeping.StateStore;
import org.meadowhollow.bookkeeping.StateStore.Urgency;
import org.meadowhollow.bookkeeping.Transaction;
import org.meadowhollow.bookkeeping.Version;
import org.meadowhollow.coordination.platform.Platform;

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

    private final StateStore store;
    private final Version leaderVersion;
    private final int mostWrites;
    private final int valueBytes;
    private final Map<String, Double> sizes = new HashMap<>();
    private final Set<String> changed = new LinkedHashSet<>();

    /** What a predecessor noted of machines that this leader has not met yet. */
    private final Map<MachineId, Map<String, Double>> noted = new HashMap<>();

    private Moment writtenAt;
    private boolean writing;

    ImageNotes(StateStore store, Version leaderVersion, Platform platform) {
        this.store = store;
        this.leaderVersion = leaderVersion;
        this.mostWrites = platform.txnOps();
        this.valueBytes = platform.valueBytes();
    }

    /**
     * Takes in what a predecessor noted; what its machines do not have any more is put right later.
     */
    void load(List<StateStore.Entry> entries, Moment now) {
        // By the first write all live machines have reported.
        writtenAt = now;
        for (StateStore.Entry entry : entries) {
            String image = Records.imageOfKey(entry.key());
            double gb = Records.imageGb(entry.value());
            sizes.put(image, gb);
            changed.add(image);
            for (MachineId machine : Records.imageMachines(entry.value())) {
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
        boolean isNew = !machine.images().has(image);
        machine.images().use(image, gb);
        if (isNew && Records.isImageKey(image)) {
            sizes.put(image, gb);
            changed.add(image);
        }
    }

    /** Writes what has changed, now and then, as far as one transaction goes. */
    void write(Collection<Machine> machines, Moment now) {
        if (writing
                || changed.isEmpty()
                || writtenAt != null && now.since(writtenAt).compareTo(EVERY) < 0) {
            return;
        }
        Transaction transaction = new Transaction().guard(Records.LEADER, leaderVersion);
        int bytes = 0;
        for (Iterator<String> images = changed.iterator();
                images.hasNext() && transaction.writes().size() < mostWrites; ) {
            String image = images.next();
            List<MachineId> having = new ArrayList<>();
            for (Machine machine : machines) {
                if (machine.images().has(image)) {
                    having.add(machine.id());
                }
            }
            Records.ImageRecord record = Records.image(sizes.get(image), having, valueBytes);
            bytes += record.bytes();
            if (bytes > MOST_BYTES && !transaction.writes().isEmpty()) {
                break;
            }
            images.remove();
            if (having.isEmpty()) {
                transaction.delete(Records.imageKey(image));
                sizes.remove(image);
            } else {
                transaction.put(Records.imageKey(image), record.map());
            }
        }
        // The pause begins once all is written.
        writtenAt = changed.isEmpty() ? now : writtenAt;
        writing = true;
        store.commit(transaction, Urgency.BACKGROUND)
                .whenComplete((commit, failure) -> writing = false);
    }
}
