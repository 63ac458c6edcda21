package org.meadowhollow.coordination.failover;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.zip.CRC32C;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.Entry;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.RecordKeys;
import org.meadowhollow.storage.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores snapshots of the risk tables in the key-value store, so that they survive the simultaneous
 * end of all controllers. A snapshot is split into a set of chunks. Two sets are written in turn,
 * and the head record, which names the newer set, is written last, so that an incomplete set is
 * never read. Guarded by the leader's lock.
 */
public final class RiskTableSnapshotStore {
    private static final Logger LOG = LoggerFactory.getLogger(RiskTableSnapshotStore.class);

    /**
     * The interval between snapshots. The end of all controllers loses at most the samples of this
     * time, a tenth of those that a table is rebuilt from; a snapshot costs a few writes.
     */
    static final Duration SNAPSHOT_INTERVAL = Duration.ofSeconds(60);

    /**
     * A set that is not complete after this time is abandoned: the store is busy with more urgent
     * writes.
     */
    private static final Duration WRITE_TIMEOUT = SNAPSHOT_INTERVAL.multipliedBy(2);

    /** The version of the stored format; snapshots of other versions are ignored. */
    static final int FORMAT_VERSION = 1;

    /** The most machines in a snapshot; bounds its number of chunks. */
    private static final int MAX_MACHINES = 2000;

    /**
     * The most bytes of chunk text in one transaction: the protocol's limit of 64 KiB less a
     * reserve for framing.
     */
    private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

    /** Bytes of a value in addition to its text. */
    private static final int FRAMING_BYTES = 64;

    private static final int SET_COUNT = 2;

    private final KeyValueStore store;
    private final Revision leaderKeyRevision;
    private final int maxWrites;
    private final int maxChunkBytes;
    private List<String> chunks = List.of();
    private int chunksWritten;

    /** The set begun last, by this leader or an earlier one; -1 while that is not known. */
    private int currentSet = -1;

    private Map<String, Object> pendingHead;
    private boolean requestInFlight;
    private MonotonicTime setStartedAt;

    /**
     * Creates a store that writes nothing until {@link #writeNext}.
     *
     * @param leaderKeyRevision the revision of the leader record, which every transaction requires
     * @param maxWrites the most writes in one transaction
     * @param maxValueBytes the largest value that the key-value store takes, in bytes
     */
    public RiskTableSnapshotStore(
            KeyValueStore store, Revision leaderKeyRevision, int maxWrites, int maxValueBytes) {
        this.store = store;
        this.leaderKeyRevision = leaderKeyRevision;
        this.maxWrites = maxWrites;
        this.maxChunkBytes = Math.min(maxValueBytes, MAX_TRANSACTION_BYTES) - FRAMING_BYTES;
    }

    /**
     * Begins a snapshot when one is due, or writes the next chunks of the current one. Does nothing
     * while a request is in flight.
     *
     * @param tables supplies the tables of a new snapshot
     * @param isWriterIdle whether no other records wait to be written
     * @param wallClockMillis the wall-clock time that a new snapshot is stamped with
     */
    // The chain records the result; after a failure the next call writes the same chunks again.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void writeNext(
            Supplier<List<RiskTableDelta.MachineEntry>> tables,
            boolean isWriterIdle,
            MonotonicTime now,
            long wallClockMillis) {
        if (requestInFlight || !isWriterIdle) {
            return;
        }
        if (currentSet < 0) {
            loadCurrentSet();
            return;
        }
        if (pendingHead == null || now.elapsedSince(setStartedAt).compareTo(WRITE_TIMEOUT) > 0) {
            if (setStartedAt != null
                    && now.elapsedSince(setStartedAt).compareTo(SNAPSHOT_INTERVAL) < 0) {
                return;
            }
            beginSet(tables.get(), wallClockMillis);
            setStartedAt = now;
        }
        Transaction transaction =
                new Transaction().requireRevision(RecordKeys.LEADER_KEY, leaderKeyRevision);
        int bytes = 0;
        int nextChunk = chunksWritten;
        while (nextChunk < chunks.size()
                && transaction.writes().size() < maxWrites - 1
                && bytes + chunks.get(nextChunk).length() <= MAX_TRANSACTION_BYTES) {
            bytes += chunks.get(nextChunk).length();
            transaction.put(
                    RecordKeys.riskTableChunk(currentSet, nextChunk),
                    Map.of("text", chunks.get(nextChunk)));
            nextChunk++;
        }
        boolean isLastTransaction = nextChunk == chunks.size();
        if (isLastTransaction) {
            transaction.put(RecordKeys.RISK_TABLE_HEAD_KEY, pendingHead);
        }
        int chunksAfterCommit = nextChunk;
        requestInFlight = true;
        store.commit(transaction, RequestPriority.BACKGROUND)
                .whenComplete(
                        (commitResult, failure) -> {
                            requestInFlight = false;
                            if (failure == null && commitResult.isApplied()) {
                                chunksWritten = chunksAfterCommit;
                                pendingHead = isLastTransaction ? null : pendingHead;
                            }
                        });
    }

    /**
     * Reads which set an earlier leader wrote last; it must not be overwritten until a newer one is
     * complete.
     */
    // The chain records the result; after a failure the next call reads again.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void loadCurrentSet() {
        requestInFlight = true;
        store.get(RecordKeys.RISK_TABLE_HEAD_KEY, RequestPriority.BACKGROUND)
                .whenComplete(
                        (headEntry, failure) -> {
                            requestInFlight = false;
                            if (failure == null) {
                                currentSet =
                                        headEntry
                                                .map(
                                                        entry ->
                                                                (int)
                                                                        readNumber(
                                                                                entry.value(),
                                                                                "set"))
                                                .orElse(0);
                            }
                        });
    }

    private void beginSet(List<RiskTableDelta.MachineEntry> entries, long wallClockMillis) {
        byte[] body =
                encode(entries.size() > MAX_MACHINES ? entries.subList(0, MAX_MACHINES) : entries);
        String text = Base64.getEncoder().encodeToString(body);
        chunks = new ArrayList<>();
        for (int at = 0; at < text.length(); at += maxChunkBytes) {
            chunks.add(text.substring(at, Math.min(text.length(), at + maxChunkBytes)));
        }
        currentSet = (currentSet + 1) % SET_COUNT;
        chunksWritten = 0;
        pendingHead =
                Map.of(
                        "form",
                        (long) FORMAT_VERSION,
                        "set",
                        (long) currentSet,
                        "chunks",
                        (long) chunks.size(),
                        "at",
                        wallClockMillis,
                        "checksum",
                        checksum(body));
    }

    private static long checksum(byte[] body) {
        CRC32C sum = new CRC32C();
        sum.update(body);
        return sum.getValue();
    }

    static byte[] encode(List<RiskTableDelta.MachineEntry> entries) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try (DataOutputStream out =
                new DataOutputStream(new DeflaterOutputStream(bytes, deflater))) {
            out.writeInt(entries.size());
            for (RiskTableDelta.MachineEntry machineEntry : entries) {
                out.writeUTF(machineEntry.machine().value());
                out.writeInt(machineEntry.machineIdentityHash());
                out.writeLong(machineEntry.workerIncarnation().value());
                out.writeLong(machineEntry.sequenceNumber());
                out.writeInt(machineEntry.table().length);
                for (int number : machineEntry.table()) {
                    out.writeInt(number);
                }
            }
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        } finally {
            deflater.end();
        }
        return bytes.toByteArray();
    }

    private static List<RiskTableDelta.MachineEntry> decode(byte[] body) throws IOException {
        try (DataInputStream in =
                new DataInputStream(new InflaterInputStream(new ByteArrayInputStream(body)))) {
            int count = Math.min(MAX_MACHINES, in.readInt());
            List<RiskTableDelta.MachineEntry> entries = new ArrayList<>();
            for (int at = 0; at < count; at++) {
                MachineId machine = new MachineId(in.readUTF());
                int identityHash = in.readInt();
                WorkerIncarnation workerIncarnation = new WorkerIncarnation(in.readLong());
                long sequenceNumber = in.readLong();
                int length = in.readInt();
                if (length < 0 || length > RiskTablePublisher.MAX_NUMBERS_PER_RESPONSE) {
                    throw new IOException("invalid table length: " + length);
                }
                int[] table = new int[length];
                for (int number = 0; number < table.length; number++) {
                    table[number] = in.readInt();
                }
                entries.add(
                        new RiskTableDelta.MachineEntry(
                                machine,
                                identityHash,
                                workerIncarnation,
                                sequenceNumber,
                                table,
                                new long[0]));
            }
            return entries;
        }
    }

    /** The tables of a stored snapshot, and its age by the wall clock. */
    public record StoredTables(List<RiskTableDelta.MachineEntry> machineEntries, Duration age) {}

    /**
     * Reads the newest complete snapshot.
     *
     * @return empty if there is none; also if it is unusable, which is logged. Fails if the
     *     key-value store does not answer, so that nothing is known about the snapshot
     */
    public static CompletableFuture<Optional<StoredTables>> read(
            KeyValueStore store, EventLoop loop) {
        return store.get(RecordKeys.RISK_TABLE_HEAD_KEY, RequestPriority.PLACEMENT)
                .thenCompose(
                        headEntry -> {
                            if (headEntry.isEmpty()) {
                                return CompletableFuture.completedFuture(
                                        Optional.<StoredTables>empty());
                            }
                            Map<String, Object> head = headEntry.get().value();
                            Duration age =
                                    Duration.ofMillis(
                                            Math.max(
                                                    0,
                                                    loop.wallClockMillis()
                                                            - readNumber(head, "at")));
                            if (readNumber(head, "form") != FORMAT_VERSION
                                    || age.compareTo(RiskTableReplica.MAX_AGE) > 0) {
                                return unusable(
                                        "unsupported format or too old, format="
                                                + readNumber(head, "form")
                                                + " age_s="
                                                + age.toSeconds());
                            }
                            return store.list(
                                            RecordKeys.riskTableSetPrefix(
                                                    (int) readNumber(head, "set")),
                                            null,
                                            RequestPriority.PLACEMENT)
                                    .thenCompose(page -> assembleTables(head, page.entries(), age));
                        });
    }

    private static CompletableFuture<Optional<StoredTables>> assembleTables(
            Map<String, Object> head, List<Entry> entries, Duration age) {
        Map<String, Object> texts = new HashMap<>();
        entries.forEach(entry -> texts.put(entry.key(), entry.value().get("text")));
        StringBuilder text = new StringBuilder();
        for (int at = 0; at < readNumber(head, "chunks"); at++) {
            text.append(texts.get(RecordKeys.riskTableChunk((int) readNumber(head, "set"), at)));
        }
        try {
            byte[] body = Base64.getDecoder().decode(text.toString());
            if (checksum(body) != readNumber(head, "checksum")) {
                return unusable("checksum mismatch");
            }
            return CompletableFuture.completedFuture(
                    Optional.of(new StoredTables(decode(body), age)));
        } catch (IOException | IllegalArgumentException broken) {
            return unusable("malformed content");
        }
    }

    private static CompletableFuture<Optional<StoredTables>> unusable(String reason) {
        LOG.info("risk table snapshot ignored reason={}", reason);
        return CompletableFuture.completedFuture(Optional.empty());
    }

    private static long readNumber(Map<String, Object> record, String name) {
        return ((Number) record.get(name)).longValue();
    }
}
