package org.meadowhollow.protocol.keyvalue;

import java.util.Map;
import java.util.Optional;
import org.meadowhollow.model.Revision;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.protocol.RandomEncoding;
import org.meadowhollow.storage.KeyValueStore.Change;
import org.meadowhollow.storage.KeyValueStore.ChangeBatch;
import org.meadowhollow.storage.KeyValueStore.CommitResult;
import org.meadowhollow.storage.KeyValueStore.Entry;
import org.meadowhollow.storage.KeyValueStore.Page;
import org.meadowhollow.storage.LeaseId;

/** Encodes the responses of the key-value store as the store does. */
public final class EncodedStoreReplies {
    /** The field with a stored value, to which the store adds nothing. */
    public static final String VALUE = "v";

    private static final String STORE_REVISION = "ledgerRev";
    private static final String ENTRY_REVISION = "stamp";

    private EncodedStoreReplies() {}

    /** Returns the fields of an entry. */
    public static Map<String, Object> fieldsOf(Entry entry) {
        return MessageReader.mapOf(
                "key", entry.key(), VALUE, entry.value(), ENTRY_REVISION, number(entry.revision()));
    }

    /** Returns the fields of a page. */
    public static Map<String, Object> fieldsOf(Page page) {
        return MessageReader.mapOf(
                "items",
                page.entries().stream().map(EncodedStoreReplies::fieldsOf).toList(),
                "truncated",
                page.hasMore(),
                STORE_REVISION,
                number(page.revision()));
    }

    /** Returns the fields of the result of a transaction. */
    public static Map<String, Object> fieldsOf(CommitResult result) {
        return MessageReader.mapOf(
                STORE_REVISION, number(result.revision()), "failed", result.conflictingKeys());
    }

    /** Returns the fields of the response to a watch. */
    public static Map<String, Object> fieldsOf(ChangeBatch batch) {
        return MessageReader.mapOf(
                STORE_REVISION,
                number(batch.revision()),
                "log",
                batch.changes().stream().map(EncodedStoreReplies::fieldsOf).toList());
    }

    private static Map<String, Object> fieldsOf(Change change) {
        return change.value() == null
                ? MessageReader.mapOf(
                        "remove", change.key(), ENTRY_REVISION, number(change.revision()))
                : MessageReader.mapOf(
                        "set",
                        change.key(),
                        VALUE,
                        change.value(),
                        ENTRY_REVISION,
                        number(change.revision()));
    }

    /** Returns the fields of a granted lease. */
    public static Map<String, Object> fieldsOf(LeaseId lease) {
        return MessageReader.mapOf("tether", MessagePackCodec.ofUnsigned(lease.value()));
    }

    private static Number number(Revision revision) {
        return MessagePackCodec.ofUnsigned(revision.value());
    }

    /** Returns what a controller reads of a response that the store encoded. */
    @SuppressWarnings("unchecked") // Each response is decoded as what it was.
    public static <T> T transmit(T response, RandomEncoding encoding) {
        if (response instanceof Optional<?> found) {
            return found.isEmpty() ? response : (T) transmitEntry((Entry) found.get(), encoding);
        }
        if (response instanceof Page page) {
            return (T) KeyValueCodec.decodePage(reply(200, fieldsOf(page), encoding));
        }
        if (response instanceof ChangeBatch batch) {
            return (T) KeyValueCodec.decodeChanges(reply(200, fieldsOf(batch), encoding));
        }
        if (response instanceof CommitResult result) {
            int status = result.isApplied() ? 200 : 409;
            return (T) KeyValueCodec.decodeCommitResult(reply(status, fieldsOf(result), encoding));
        }
        return response instanceof LeaseId lease
                ? (T) KeyValueCodec.decodeLease(reply(200, fieldsOf(lease), encoding))
                : response;
    }

    private static Optional<Entry> transmitEntry(Entry entry, RandomEncoding encoding) {
        return KeyValueCodec.decodeEntry(reply(200, fieldsOf(entry), encoding));
    }

    private static Http.Reply reply(
            int status, Map<String, Object> fields, RandomEncoding encoding) {
        return new Http.Reply(status, encoding.encode(fields), 0);
    }
}
