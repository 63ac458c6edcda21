package org.meadowhollow.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The record that an interface other than the native one keeps for a job of one task: an entry with
 * the job's phase and attempts, stored under a key of its own. The entry is written in the same
 * transactions as the job's records, so that no reader sees one of them older than the other. Not
 * thread-safe: guarded like its job.
 *
 * <p>Field names and stored names in this class are part of the persisted format.
 */
public final class SecondaryRecord {
    /**
     * The number of attempts that an entry keeps; older ones are dropped, because an entry must
     * stay small.
     */
    static final int MAX_RETAINED_ATTEMPTS = 10;

    /** The stored reason of an attempt that was preempted or ended with its preempted machine. */
    public static final String PREEMPTED_REASON = "PREEMPTED";

    /** The stored reason of an attempt that was lost with its machine. */
    public static final String LOST_REASON = "LOST";

    // Fields of the reference in the job's record.
    private static final String KEY_FIELD = "key";
    private static final String CONSTANT_FIELDS_FIELD = "entry";
    private static final String MAX_ATTEMPTS_FIELD = "most";
    private static final String TRACE_CONTEXT_FIELD = "trace";

    // Fields of the entry itself, beside the constant ones.
    private static final String PHASE_FIELD = "progress";
    private static final String ATTEMPTS_FIELD = "log";

    private final String key;
    private final Map<String, Object> constantFields;
    private final int maxAttempts;
    private final String traceContext;
    private final List<AttemptRecord> attempts = new ArrayList<>();
    private JobPhase terminalFailure;

    /** The number of the last attempt whose end was traced. */
    private int lastTracedAttempt;

    /**
     * Creates the secondary record of a job without attempts.
     *
     * @param key the key of the entry in the key-value store
     * @param constantFields the fields of the entry that never change
     * @param maxAttempts the number of attempts after which the job fails, or 0 for no limit
     * @param traceContext the context in which the job is traced, or null
     */
    public SecondaryRecord(
            String key, Map<String, Object> constantFields, int maxAttempts, String traceContext) {
        this.key = key;
        this.constantFields = Map.copyOf(constantFields);
        this.maxAttempts = maxAttempts;
        this.traceContext = traceContext;
    }

    /** The key of the entry in the key-value store. */
    public String key() {
        return key;
    }

    // ---- the reference in the job's record ----

    /**
     * Encodes the reference, which is kept in the job's record and has all that a leader needs to
     * rewrite the entry.
     */
    public Map<String, Object> encodeReference() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(KEY_FIELD, key);
        fields.put(CONSTANT_FIELDS_FIELD, constantFields);
        fields.put(MAX_ATTEMPTS_FIELD, (long) maxAttempts);
        if (traceContext != null) {
            fields.put(TRACE_CONTEXT_FIELD, traceContext);
        }
        return fields;
    }

    /**
     * Extracts the key of the entry from a reference.
     *
     * @param reference the reference in a job's record, or null if there is none
     * @return null if there is no reference
     */
    public static String keyInReference(Object reference) {
        return reference instanceof Map<?, ?> fields ? (String) fields.get(KEY_FIELD) : null;
    }

    /**
     * Restores a secondary record, without its attempts, from a reference.
     *
     * @param reference the reference in a job's record, or null if there is none
     * @return null if there is no reference
     */
    @SuppressWarnings("unchecked") // The store's codec decodes maps with string keys.
    public static SecondaryRecord decodeReference(Object reference) {
        if (!(reference instanceof Map<?, ?> fields)) {
            return null;
        }
        return new SecondaryRecord(
                (String) fields.get(KEY_FIELD),
                (Map<String, Object>) fields.get(CONSTANT_FIELDS_FIELD),
                ((Number) fields.get(MAX_ATTEMPTS_FIELD)).intValue(),
                (String) fields.get(TRACE_CONTEXT_FIELD));
    }

    // ---- attempts ----

    /**
     * Records that the task is placed, which begins a new attempt.
     *
     * @param nowMillis the wall-clock time in milliseconds, also in the methods below
     */
    public void recordPlacement(AttemptNumber attemptNumber, MachineId machineId, long nowMillis) {
        attempts.add(
                new AttemptRecord(
                        attemptNumber.issuedValue(), machineId.value(), nowMillis, 0, 0, null));
        if (attempts.size() > MAX_RETAINED_ATTEMPTS) {
            attempts.remove(0);
        }
    }

    /**
     * Records that an attempt is running; returns false if that was recorded before or the attempt
     * is no longer kept.
     */
    public boolean recordStart(AttemptNumber attemptNumber, long nowMillis) {
        int index = indexOfAttempt(attemptNumber);
        if (index < 0 || attempts.get(index).startedAtMillis() > 0) {
            return false;
        }
        attempts.set(index, attempts.get(index).withStart(nowMillis));
        return true;
    }

    /**
     * Records that an attempt has ended. If it was the last attempt allowed and did not complete
     * the job, the job has failed.
     *
     * @param reason the stored name of an exit reason, or one of the reasons of this class
     */
    public void recordAttemptEnd(AttemptNumber attemptNumber, String reason, long nowMillis) {
        int index = indexOfAttempt(attemptNumber);
        if (index >= 0 && attempts.get(index).endReason() == null) {
            AttemptRecord attempt = attempts.get(index);
            if (attempt.startedAtMillis() == 0 && isCompletion(reason)) {
                // The attempt ran and ended between two heartbeats, so its start was not
                // reported: all that is known is that it ran after it was placed.
                attempt = attempt.withStart(attempt.placedAtMillis());
            }
            attempts.set(index, attempt.withEnd(nowMillis, reason));
        }
        if (maxAttempts > 0 && attemptNumber.value() >= maxAttempts) {
            terminalFailure = failurePhaseOf(reason);
        }
    }

    private int indexOfAttempt(AttemptNumber attemptNumber) {
        for (int index = attempts.size() - 1; index >= 0; index--) {
            if (attempts.get(index).attemptNumber() == attemptNumber.value()) {
                return index;
            }
        }
        return -1;
    }

    private static boolean isCompletion(String reason) {
        return reason.equals(ExitReason.DONE.storedName());
    }

    private static JobPhase failurePhaseOf(String reason) {
        if (isCompletion(reason)) {
            return null;
        }
        return switch (reason) {
            case PREEMPTED_REASON -> JobPhase.PREEMPTED;
            case LOST_REASON -> JobPhase.LOST;
            default -> JobPhase.FAILED;
        };
    }

    /** The phase in which the job ended because it ran out of attempts, or null. */
    JobPhase terminalFailure() {
        return terminalFailure;
    }

    /** Encodes the attempts for the record of the task's shard and for the entry. */
    public List<Object> encodeAttempts() {
        return new ArrayList<>(attempts.stream().map(AttemptRecord::encode).toList());
    }

    /**
     * Restores the attempts that an earlier leader persisted. None of them is the last one allowed:
     * an attempt that ends the job is persisted together with the job's end, never before it.
     *
     * @param encoded the encoded attempts, or null if there are none
     */
    public void restoreAttempts(Object encoded) {
        attempts.clear();
        if (encoded instanceof List<?> items) {
            items.forEach(item -> attempts.add(AttemptRecord.decode(item)));
            // The earlier leader traced the attempts that its records show as ended.
            untracedEndedAttempts(0)
                    .forEach(ended -> lastTracedAttempt = ended.attempt().attemptNumber());
        }
    }

    // ---- tracing ----

    /**
     * An attempt that has ended.
     *
     * @param pendingSinceMillis the wall-clock time since which the job had waited for the attempt,
     *     in milliseconds
     */
    public record EndedAttempt(long pendingSinceMillis, AttemptRecord attempt) {}

    /** The task with its trace context, or null if the task is not traced. */
    public TaskTracer.TracedTask tracedTask(JobId jobId, String team) {
        return traceContext == null ? null : new TaskTracer.TracedTask(traceContext, jobId, team);
    }

    /** The attempts that have ended and are not traced yet. */
    public List<EndedAttempt> untracedEndedAttempts(long acceptedAtMillis) {
        List<EndedAttempt> ended = new ArrayList<>();
        for (int index = 0; index < attempts.size(); index++) {
            AttemptRecord attempt = attempts.get(index);
            if (attempt.endReason() != null && attempt.attemptNumber() > lastTracedAttempt) {
                ended.add(new EndedAttempt(pendingSinceMillis(index, acceptedAtMillis), attempt));
            }
        }
        return ended;
    }

    /**
     * The time since which the job waited for an attempt: the end of the previous attempt, the
     * job's admission, or the attempt's placement if earlier attempts are no longer kept.
     */
    private long pendingSinceMillis(int index, long acceptedAtMillis) {
        if (index > 0) {
            return attempts.get(index - 1).endedAtMillis();
        }
        AttemptRecord attempt = attempts.get(index);
        return attempt.attemptNumber() == 1 ? acceptedAtMillis : attempt.placedAtMillis();
    }

    /** Traces attempts that a persisted record shows as ended. */
    public void trace(
            TaskTracer tracer, TaskTracer.TracedTask task, List<EndedAttempt> endedAttempts) {
        for (EndedAttempt ended : endedAttempts) {
            lastTracedAttempt = ended.attempt().attemptNumber();
            tracer.onAttemptEnded(task, ended.pendingSinceMillis(), ended.attempt());
        }
    }

    // ---- the entry ----

    /** Encodes the entry of a job that was just admitted. */
    public Map<String, Object> encodeAccepted() {
        return encodeWith(JobPhase.QUEUED, List.of());
    }

    /** Encodes the entry of a job in a phase, with its attempts. */
    public Map<String, Object> encode(JobPhase phase) {
        return encodeWith(phase, encodeAttempts());
    }

    private Map<String, Object> encodeWith(JobPhase phase, List<Object> encodedAttempts) {
        Map<String, Object> entry = new LinkedHashMap<>(constantFields);
        entry.put(PHASE_FIELD, phase.storedName());
        entry.put(ATTEMPTS_FIELD, encodedAttempts);
        return entry;
    }

    /** Copies an entry and sets its phase to {@link JobPhase#CANCELING}. */
    public static Map<String, Object> withCancellationRequested(Map<String, Object> entry) {
        Map<String, Object> copy = new LinkedHashMap<>(entry);
        copy.put(PHASE_FIELD, JobPhase.CANCELING.storedName());
        return copy;
    }

    /** Decodes the phase in an entry. */
    public static JobPhase phaseOf(Map<String, Object> entry) {
        return JobPhase.fromStoredName((String) entry.get(PHASE_FIELD));
    }

    /** Decodes the attempts in an entry, the oldest one first. */
    public static List<AttemptRecord> attemptsOf(Map<String, Object> entry) {
        return ((List<?>) entry.get(ATTEMPTS_FIELD)).stream().map(AttemptRecord::decode).toList();
    }
}
