package org.meadowhollow.protocol.keyvalue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.meadowhollow.model.Revision;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.storage.IndeterminateOutcomeException;
import org.meadowhollow.storage.KeyValueStore.Change;
import org.meadowhollow.storage.KeyValueStore.ChangeBatch;
import org.meadowhollow.storage.KeyValueStore.CommitResult;
import org.meadowhollow.storage.KeyValueStore.Entry;
import org.meadowhollow.storage.KeyValueStore.Page;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.LeaseId;
import org.meadowhollow.storage.Transaction;
import org.meadowhollow.storage.WatchCompactedException;

/**
 * Encodes requests to the key-value store and decodes its responses: the paths, the platform's
 * field names, and the outcome that each status code stands for. Stateless. All decoding methods
 * throw a {@link KeyValueStoreException} with the outcome {@link Outcome#INDETERMINATE} if a
 * response is malformed.
 */
final class KeyValueCodec {
    static final String TRANSACTION_PATH = "/multi";
    static final String LEASES_PATH = "/grants";
    private static final String KEYS_PATH = "/kv";
    private static final String CHANGES_PATH = "/changes";

    // The platform's field names.
    private static final String KEY = "key";
    private static final String VALUE = "v";
    private static final String SET = "set";
    private static final String REMOVE = "remove";
    private static final String CONDITIONS = "guards";
    private static final String WRITES = "writes";
    private static final String CONFLICTING_KEYS = "failed";
    private static final String ENTRIES = "items";
    private static final String HAS_MORE = "truncated";
    private static final String CHANGES = "log";
    private static final String ENTRY_REVISION = "stamp";
    private static final String STORE_REVISION = "ledgerRev";
    private static final String LEASE = "tether";
    private static final String LEASE_TTL_MILLIS = "ttlMs";

    /** The error that a response with status 400 names if the lease does not exist. */
    private static final String LEASE_NOT_FOUND = "no such lease";

    private static final String ERROR = "error";

    private KeyValueCodec() {}

    static String entryPath(String key) {
        return KEYS_PATH + "/" + key;
    }

    /**
     * @param after the key after which the page begins, or null for the first page
     */
    static String listPath(String prefix, String after, int maxEntries) {
        return KEYS_PATH
                + "?prefix="
                + prefix
                + (after == null ? "" : "&after=" + after)
                + "&most="
                + maxEntries;
    }

    static String renewalPath(LeaseId lease) {
        return leasePath(lease) + "/renew";
    }

    static String leasePath(LeaseId lease) {
        return LEASES_PATH + "/" + lease;
    }

    static String changesPath(String prefix, Revision after, Duration maxWait) {
        return CHANGES_PATH
                + "?prefix="
                + prefix
                + "&after="
                + after
                + "&blockMs="
                + maxWait.toMillis();
    }

    static byte[] encodeTransaction(Transaction transaction) {
        List<Map<String, Object>> conditions = new ArrayList<>();
        transaction
                .conditions()
                .forEach(
                        (key, revision) ->
                                conditions.add(
                                        MessageReader.mapOf(
                                                KEY,
                                                key,
                                                ENTRY_REVISION,
                                                MessagePackCodec.ofUnsigned(revision.value()))));
        List<Map<String, Object>> writes = new ArrayList<>();
        transaction.writes().forEach((key, write) -> writes.add(encodeWrite(key, write)));
        return MessagePackCodec.encode(MessageReader.mapOf(CONDITIONS, conditions, WRITES, writes));
    }

    private static Map<String, Object> encodeWrite(String key, Transaction.Write write) {
        if (write.value() == null) {
            return MessageReader.mapOf(REMOVE, key);
        }
        if (write.lease() == null) {
            return MessageReader.mapOf(SET, key, VALUE, write.value());
        }
        return MessageReader.mapOf(
                SET,
                key,
                VALUE,
                write.value(),
                LEASE,
                MessagePackCodec.ofUnsigned(write.lease().value()));
    }

    static byte[] encodeLeaseGrant(Duration ttl) {
        return MessagePackCodec.encode(MessageReader.mapOf(LEASE_TTL_MILLIS, ttl.toMillis()));
    }

    static byte[] encodeLeaseRenewal() {
        return MessagePackCodec.encode(Map.of());
    }

    /**
     * Returns the response if the store has evaluated the request: success, not found, or conflict.
     *
     * @throws KeyValueStoreException with the corresponding outcome for any other status
     */
    static Http.Reply requireServed(Http.Reply reply) {
        return switch (reply.status()) {
            case 200, 404, 409 -> reply;
            case 429, 503 -> throw statusException(Outcome.REJECTED, reply);
            case 410 -> throw new WatchCompactedException("the watch began too long ago");
            case 400 ->
                    throw statusException(
                            isLeaseNotFound(reply)
                                    ? Outcome.LEASE_EXPIRED
                                    : Outcome.INVALID_REQUEST,
                            reply);
            default -> throw statusException(Outcome.INDETERMINATE, reply);
        };
    }

    private static KeyValueStoreException statusException(Outcome outcome, Http.Reply reply) {
        return KeyValueStoreException.of(outcome, "answered " + reply.status());
    }

    private static boolean isLeaseNotFound(Http.Reply reply) {
        try {
            String error = MessageReader.decode(reply.body()).stringOrNull(ERROR);
            return error != null && error.contains(LEASE_NOT_FOUND);
        } catch (MalformedMessageException malformed) {
            return false;
        }
    }

    /** Decodes an entry; empty if the key does not exist. */
    static Optional<Entry> decodeEntry(Http.Reply reply) {
        return reply.status() == 404
                ? Optional.empty()
                : Optional.of(decode(reply, KeyValueCodec::readEntry));
    }

    static Page decodePage(Http.Reply reply) {
        return decode(
                reply,
                body -> {
                    List<Entry> entries = new ArrayList<>();
                    for (MessageReader item : body.nestedList(ENTRIES)) {
                        entries.add(readEntry(item));
                    }
                    return new Page(
                            entries, body.booleanOr(HAS_MORE, false), readStoreRevision(body));
                });
    }

    static CommitResult decodeCommitResult(Http.Reply reply) {
        boolean applied = reply.status() == 200;
        return decode(
                reply,
                body ->
                        new CommitResult(
                                applied,
                                readStoreRevision(body),
                                applied ? List.of() : body.stringList(CONFLICTING_KEYS)));
    }

    static LeaseId decodeLease(Http.Reply reply) {
        return decode(reply, body -> new LeaseId(body.unsignedLong(LEASE)));
    }

    static ChangeBatch decodeChanges(Http.Reply reply) {
        return decode(
                reply,
                body -> {
                    List<Change> changes = new ArrayList<>();
                    for (MessageReader item : body.nestedList(CHANGES)) {
                        changes.add(readChange(item));
                    }
                    return new ChangeBatch(readStoreRevision(body), changes);
                });
    }

    private static Entry readEntry(MessageReader item) throws MalformedMessageException {
        return new Entry(
                item.string(KEY),
                item.nested(VALUE).map(),
                new Revision(item.unsignedLong(ENTRY_REVISION)));
    }

    private static Change readChange(MessageReader item) throws MalformedMessageException {
        Revision revision = new Revision(item.unsignedLong(ENTRY_REVISION));
        return item.has(REMOVE)
                ? new Change(item.string(REMOVE), null, revision)
                : new Change(item.string(SET), item.nested(VALUE).map(), revision);
    }

    private static Revision readStoreRevision(MessageReader body) throws MalformedMessageException {
        return new Revision(body.unsignedLong(STORE_REVISION));
    }

    private interface BodyDecoder<T> {
        T decode(MessageReader body) throws MalformedMessageException;
    }

    private static <T> T decode(Http.Reply reply, BodyDecoder<T> decoder) {
        try {
            return decoder.decode(MessageReader.decode(reply.body()));
        } catch (MalformedMessageException malformed) {
            throw new IndeterminateOutcomeException(
                    "the answer makes no sense: " + malformed.getMessage());
        }
    }
}
