package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.RandomEncoding;
import org.meadowhollow.protocol.keyvalue.EncodedStoreReplies;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.LeaseExpiredException;
import org.meadowhollow.storage.LeaseId;
import org.meadowhollow.storage.RequestRejectedException;
import org.meadowhollow.storage.Transaction;

/**
 * An in-memory stand-in for the consensus-backed key-value store: keys with revisions, leases,
 * compare-and-swap transactions and a change log. It holds the state and the faults that affect
 * every client; each client has its own {@link FakeStoreConnection}, which adds latency and the
 * faults of that client alone. Not thread-safe: everything runs on the event loop.
 */
final class FakeKeyValueStore {
    private static final Duration DEFAULT_LATENCY = Duration.ofMillis(3);

    /** Number of past changes that a watch can start from; the protocol sets this bound. */
    private static final int MAX_LOG_ENTRIES = 10_000;

    /** About as many changes as a cluster makes before its first job. */
    private static final int CHANGES_BELOW_HALF_RANGE = 20;

    private static final Duration TIMEOUT = Duration.ofMillis(1500);
    private static final Duration SLOW_TIMEOUT = Duration.ofMillis(3200);

    // The array is passed on without a copy, and stored values are never compared as records.
    @SuppressWarnings("ArrayRecordComponent")
    private record StoredValue(byte[] value, long revision, long lease) {}

    private record Lease(MonotonicTime expiresAt, Duration ttl) {}

    private final EventLoop loop;

    /** Null if responses are delivered without being encoded. */
    private RandomEncoding encoding;

    private final Duration normalLatency;
    private Duration latency;
    private final TreeMap<String, StoredValue> values = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<KeyValueStore.Change> changeLog = new ArrayList<>();
    private long revision;
    private long lastLeaseId;
    private boolean hasOutage;
    private String observedKey;
    private Runnable putObserver;

    /** Accepted writes per second; 0 if there is no limit. */
    private int writesPerSecond;

    private double writeBudget;
    private MonotonicTime writeBudgetUpdatedAt;
    private int writeCount;
    private int rejectedCount;

    FakeKeyValueStore(EventLoop loop) {
        this(loop, DEFAULT_LATENCY);
    }

    /**
     * @param latency the latency of a message in one direction
     */
    FakeKeyValueStore(EventLoop loop, Duration latency) {
        this.loop = loop;
        this.normalLatency = latency;
        this.latency = latency;
    }

    /** Lets revisions and leases pass 2^63 soon, where the sign of a long changes. */
    FakeKeyValueStore startNumbersBelowHalfRange() {
        revision = Long.MAX_VALUE - CHANGES_BELOW_HALF_RANGE;
        lastLeaseId = Long.MAX_VALUE - 1;
        return this;
    }

    /** Encodes every response, and delivers what a client reads of it. */
    FakeKeyValueStore encodeResponses(RandomEncoding responseEncoding) {
        encoding = responseEncoding;
        return this;
    }

    /** Returns what a client reads of a response. */
    <T> T transmit(T response) {
        return encoding == null ? response : EncodedStoreReplies.transmit(response, encoding);
    }

    /** Opens a connection for one client. */
    FakeStoreConnection connect() {
        return new FakeStoreConnection(this, loop);
    }

    // ---- faults that affect every client ----

    /** Begins or ends an outage; in both cases every lease gets its full time to live again. */
    void setOutage(boolean outage) {
        hasOutage = outage;
        leases.replaceAll((id, lease) -> new Lease(loop.now().plus(lease.ttl()), lease.ttl()));
    }

    boolean hasOutage() {
        return hasOutage;
    }

    /** Limits the writes per second, with bursts of one second's worth; 0 ends the limit. */
    void limitWriteRate(int maxWritesPerSecond) {
        writesPerSecond = maxWritesPerSecond;
        writeBudget = maxWritesPerSecond;
        writeBudgetUpdatedAt = loop.now();
    }

    /**
     * Sets the latency in one direction; like the real client, clients then wait longer for
     * responses too.
     *
     * @param oneWay null for the normal latency
     */
    void setLatency(Duration oneWay) {
        latency = oneWay == null ? normalLatency : oneWay;
    }

    Duration latency() {
        return latency;
    }

    /** Returns the time that a client waits for a response at the current latency. */
    Duration requestTimeout() {
        return latency.equals(normalLatency) ? TIMEOUT : SLOW_TIMEOUT;
    }

    // ---- state and counters for tests ----

    /** Returns the number of writes that were applied. */
    int writeCount() {
        return writeCount;
    }

    /** Returns the number of transactions that the rate limit rejected. */
    int rejectedCount() {
        return rejectedCount;
    }

    /** Runs an action after each put of a key, when its writer has received the response. */
    void onPut(String key, Runnable action) {
        observedKey = key;
        putObserver = action;
    }

    /** Returns the decoded value of a key, or null if it does not exist. */
    Map<String, Object> valueOf(String key) {
        StoredValue stored = values.get(key);
        return stored == null ? null : decode(stored.value());
    }

    /** Writes a record as an earlier controller would have written it. */
    void put(String key, Map<String, Object> value) {
        commit(new Transaction().put(key, value));
    }

    int recordCount(String prefix) {
        return (int) values.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    int largestValueBytes() {
        return values.values().stream().mapToInt(stored -> stored.value().length).max().orElse(0);
    }

    // ---- operations, executed at once ----

    Revision revision() {
        return new Revision(revision);
    }

    Optional<KeyValueStore.Entry> get(String key) {
        return Optional.ofNullable(values.get(key)).map(stored -> entry(key, stored));
    }

    /**
     * Reads one page of the keys with a prefix.
     *
     * @param after the last key of the page before; null for the first page
     * @param limit the maximum number of entries in the page
     */
    KeyValueStore.Page list(String prefix, String after, int limit) {
        List<KeyValueStore.Entry> entries = new ArrayList<>();
        for (Map.Entry<String, StoredValue> mapEntry :
                values.tailMap(after == null ? prefix : after, after == null).entrySet()) {
            if (!mapEntry.getKey().startsWith(prefix) || entries.size() > limit) {
                break;
            }
            entries.add(entry(mapEntry.getKey(), mapEntry.getValue()));
        }
        return new KeyValueStore.Page(
                List.copyOf(entries.subList(0, Math.min(limit, entries.size()))),
                entries.size() > limit,
                revision());
    }

    /**
     * Applies a transaction if its conditions hold.
     *
     * @throws KeyValueStoreException if the rate limit rejects the transaction or a lease does not
     *     exist
     */
    KeyValueStore.CommitResult commit(Transaction transaction) {
        expireLeases();
        consumeWriteBudget(transaction.writes().size());
        List<String> failedKeys = failedConditions(transaction);
        for (Transaction.Write write : transaction.writes().values()) {
            if (write.lease() != null && !leases.containsKey(write.lease().value())) {
                throw new LeaseExpiredException("no such lease");
            }
        }
        if (!failedKeys.isEmpty()) {
            return new KeyValueStore.CommitResult(false, revision(), failedKeys);
        }
        revision++;
        transaction.writes().forEach(this::apply);
        return new KeyValueStore.CommitResult(true, revision(), List.of());
    }

    LeaseId grantLease(Duration ttl) {
        leases.put(++lastLeaseId, new Lease(loop.now().plus(ttl), ttl));
        return new LeaseId(lastLeaseId);
    }

    /**
     * @throws KeyValueStoreException if the lease has expired
     */
    void renewLease(LeaseId id) {
        Lease lease = leases.get(id.value());
        if (lease == null) {
            throw new LeaseExpiredException("lease expired");
        }
        leases.put(id.value(), new Lease(loop.now().plus(lease.ttl()), lease.ttl()));
    }

    void revokeLease(LeaseId lease) {
        leases.computeIfPresent(lease.value(), (id, old) -> new Lease(loop.now(), old.ttl()));
        expireLeases();
    }

    /** Removes the keys of leases that have expired; during an outage no lease expires. */
    void expireLeases() {
        if (hasOutage) {
            return;
        }
        for (Map.Entry<Long, Lease> lease : Map.copyOf(leases).entrySet()) {
            if (lease.getValue().expiresAt().isBefore(loop.now())) {
                expireLease(lease.getKey());
            }
        }
    }

    /** Returns whether the log no longer holds all changes after a revision. */
    boolean isCompacted(Revision after) {
        return changeLog.size() > MAX_LOG_ENTRIES
                && changeLog
                        .get(changeLog.size() - MAX_LOG_ENTRIES)
                        .revision()
                        .isAfter(new Revision(after.value() + 1));
    }

    /** Returns the changes of all keys after a revision, oldest first. */
    List<KeyValueStore.Change> changesAfter(Revision after) {
        // The log is ordered by revision, and most watchers are near its end.
        int start = changeLog.size();
        while (start > 0 && changeLog.get(start - 1).revision().isAfter(after)) {
            start--;
        }
        return changeLog.subList(start, changeLog.size());
    }

    private void consumeWriteBudget(int writes) {
        if (writesPerSecond > 0) {
            writeBudget =
                    Math.min(
                            writesPerSecond,
                            writeBudget
                                    + loop.now().secondsSince(writeBudgetUpdatedAt)
                                            * writesPerSecond);
            writeBudgetUpdatedAt = loop.now();
            if (writeBudget < writes) {
                rejectedCount++;
                throw new RequestRejectedException("write rate limit exceeded");
            }
            writeBudget -= writes;
        }
        writeCount += writes;
    }

    private List<String> failedConditions(Transaction transaction) {
        List<String> failedKeys = new ArrayList<>();
        transaction
                .conditions()
                .forEach(
                        (key, expected) -> {
                            StoredValue stored = values.get(key);
                            if ((stored == null ? 0 : stored.revision()) != expected.value()) {
                                failedKeys.add(key);
                            }
                        });
        return failedKeys;
    }

    private void apply(String key, Transaction.Write write) {
        if (write.value() == null) {
            remove(key);
            return;
        }
        if (key.equals(observedKey)) {
            loop.schedule(latency.multipliedBy(2), putObserver);
        }
        byte[] encoded = MessagePackCodec.encode(write.value());
        long lease = write.lease() == null ? 0 : write.lease().value();
        values.put(key, new StoredValue(encoded, revision, lease));
        changeLog.add(new KeyValueStore.Change(key, decode(encoded), revision()));
    }

    private void expireLease(long lease) {
        leases.remove(lease);
        for (String key : List.copyOf(values.keySet())) {
            if (values.get(key).lease() == lease) {
                revision++;
                remove(key);
            }
        }
    }

    private void remove(String key) {
        if (values.remove(key) != null) {
            changeLog.add(new KeyValueStore.Change(key, null, revision()));
        }
    }

    private static KeyValueStore.Entry entry(String key, StoredValue stored) {
        return new KeyValueStore.Entry(
                key, decode(stored.value()), new Revision(stored.revision()));
    }

    private static Map<String, Object> decode(byte[] value) {
        try {
            return MessagePackCodec.decode(value);
        } catch (MalformedMessageException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
