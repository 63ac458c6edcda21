package org.meadowhollow.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What another interface keeps beside a job of one task: an entry in a list of its own, written in
 * the same transactions as the job's records, so that no reader sees one of them older than the
 * other. Guarded like its job.
 */
public final class SecondaryRecord {
    /**
     * Attempts kept in an entry; older ones are counted and left out, for an entry must stay small.
     */
    static final int MAX_RETAINED_ATTEMPTS = 10;

    /** The words in the log for what is no exit of the task's own. */
    public static final String PREEMPTED_REASON = "PREEMPTED";

    public static final String LOST_REASON = "LOST";
    private static final String PHASE_FIELD = "progress";
    private static final String ATTEMPTS_FIELD = "log";

    private final String key;
    private final Map<String, Object> constantFields;
    private final int maxAttempts;
    private final String trace;
    private final List<AttemptRecord> attemptHistory = new ArrayList<>();
    private JobPhase terminalFailure;

    /** The last attempt whose end those who trace the task were told. */
    private int lastTracedAttempt;

    /**
     * @param key of the entry in the state service
     * @param entry what never changes of it
     * @param mostAttempts after which the job is given up, 0 for as many as it takes
     * @param trace the context in which the job is traced, or null
     */
    public SecondaryRecord(String key, Map<String, Object> entry, int mostAttempts, String trace) {
        this.key = key;
        this.constantFields = Map.copyOf(entry);
        this.maxAttempts = mostAttempts;
        this.trace = trace;
    }

    public String key() {
        return key;
    }

    public Map<String, Object> encodeReference() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("key", key);
        map.put("entry", constantFields);
        map.put("most", (long) maxAttempts);
        if (trace != null) {
            map.put("trace", trace);
        }
        return map;
    }

    /** The key in a record, without the rest of it. */
    public static String keyInReference(Object record) {
        return record instanceof Map<?, ?> map ? (String) map.get("key") : null;
    }

    @SuppressWarnings("unchecked")
    public static SecondaryRecord decodeReference(Object record) {
        if (!(record instanceof Map<?, ?> map)) {
            return null;
        }
        return new SecondaryRecord(
                (String) map.get("key"),
                (Map<String, Object>) map.get("entry"),
                ((Number) map.get("most")).intValue(),
                (String) map.get("trace"));
    }

    // ---- attempts ----

    /** Its task has a place now. */
    public void recordPlacement(AttemptNumber attemptNumber, MachineId machine, long millis) {
        attemptHistory.add(
                new AttemptRecord(attemptNumber.value(), machine.value(), millis, 0, 0, null));
        if (attemptHistory.size() > MAX_RETAINED_ATTEMPTS) {
            attemptHistory.remove(0);
        }
    }

    /** Its task runs; true if that is news. */
    public boolean recordStart(AttemptNumber attemptNumber, long millis) {
        int at = indexOfAttempt(attemptNumber);
        if (at < 0 || attemptHistory.get(at).startedAtMillis() > 0) {
            return false;
        }
        attemptHistory.set(at, attemptHistory.get(at).withStart(millis));
        return true;
    }

    /**
     * An attempt is over; when it was the last one allowed and did not complete the job, so is the
     * job.
     */
    public void recordAttemptEnd(AttemptNumber attemptNumber, String cause, long millis) {
        int at = indexOfAttempt(attemptNumber);
        if (at >= 0 && attemptHistory.get(at).endReason() == null) {
            AttemptRecord open = attemptHistory.get(at);
            if (open.startedAtMillis() == 0 && cause.equals(ExitReason.DONE.storedWord())) {
                // Shorter than the pause between two reports: all that is known is that it ran
                // after it was placed.
                open = open.withStart(open.placedAtMillis());
            }
            attemptHistory.set(at, open.withEnd(millis, cause));
        }
        if (maxAttempts > 0 && attemptNumber.value() >= maxAttempts) {
            terminalFailure = failurePhaseOf(cause);
        }
    }

    private int indexOfAttempt(AttemptNumber attemptNumber) {
        for (int at = attemptHistory.size() - 1; at >= 0; at--) {
            if (attemptHistory.get(at).attemptNumber() == attemptNumber.value()) {
                return at;
            }
        }
        return -1;
    }

    /** How the job ended that ran out of attempts, or null. */
    JobPhase terminalFailure() {
        return terminalFailure;
    }

    public List<Object> encodeAttempts() {
        return new ArrayList<>(attemptHistory.stream().map(AttemptRecord::encode).toList());
    }

    /**
     * Takes in what a predecessor wrote of the attempts. None of them is the last one allowed: an
     * attempt that ends the job is written together with the job's end, never before it.
     */
    public void restoreAttempts(Object encoded) {
        attemptHistory.clear();
        if (encoded instanceof List<?> items) {
            items.forEach(item -> attemptHistory.add(AttemptRecord.decode(item)));
            // The predecessor told of those that its records show as over.
            untracedEndedAttempts(0)
                    .forEach(each -> lastTracedAttempt = each.attempt().attemptNumber());
        }
    }

    private static JobPhase failurePhaseOf(String cause) {
        return cause.equals(ExitReason.DONE.storedWord())
                ? null
                : cause.equals(PREEMPTED_REASON)
                        ? JobPhase.PREEMPTED
                        : cause.equals(LOST_REASON) ? JobPhase.LOST : JobPhase.FAILED;
    }

    // ---- for those who trace the job ----

    /** An attempt that is over, and since when the job had waited for it. */
    public record EndedAttempt(long pendingSinceMillis, AttemptRecord attempt) {}

    /** The job as it is traced, or null. */
    public TaskTracer.TracedTask tracedTask(JobId id, String team) {
        return trace == null ? null : new TaskTracer.TracedTask(trace, id, team);
    }

    /** The attempts that are over and that nobody was told of. */
    public List<EndedAttempt> untracedEndedAttempts(long acceptedMillis) {
        List<EndedAttempt> over = new ArrayList<>();
        for (int at = 0; at < attemptHistory.size(); at++) {
            AttemptRecord each = attemptHistory.get(at);
            if (each.endReason() != null && each.attemptNumber() > lastTracedAttempt) {
                long since =
                        at > 0
                                ? attemptHistory.get(at - 1).endedAtMillis()
                                : each.attemptNumber() == 1
                                        ? acceptedMillis
                                        : each.placedAtMillis();
                over.add(new EndedAttempt(since, each));
            }
        }
        return over;
    }

    /** Tells of what a record that was written says is over. */
    public void trace(TaskTracer traces, TaskTracer.TracedTask task, List<EndedAttempt> over) {
        for (EndedAttempt each : over) {
            lastTracedAttempt = each.attempt().attemptNumber();
            traces.onAttemptEnded(task, each.pendingSinceMillis(), each.attempt());
        }
    }

    // ---- the entry ----

    /** The entry of a job that was just accepted. */
    public Map<String, Object> encodeAccepted() {
        return encodeWith(JobPhase.QUEUED, List.of());
    }

    /** The entry of a job as it is. */
    public Map<String, Object> encode(JobPhase jobPhase) {
        return encodeWith(jobPhase, encodeAttempts());
    }

    private Map<String, Object> encodeWith(JobPhase jobPhase, List<Object> attempts) {
        Map<String, Object> map = new LinkedHashMap<>(constantFields);
        map.put(PHASE_FIELD, jobPhase.storedWord());
        map.put(ATTEMPTS_FIELD, attempts);
        return map;
    }

    /** An entry with the cancellation noted, as its user is told of it. */
    public static Map<String, Object> withCancellationRequested(Map<String, Object> entry) {
        Map<String, Object> copy = new LinkedHashMap<>(entry);
        copy.put(PHASE_FIELD, JobPhase.CANCELING.storedWord());
        return copy;
    }

    public static JobPhase phaseOf(Map<String, Object> entry) {
        return JobPhase.fromStoredWord((String) entry.get(PHASE_FIELD));
    }

    public static List<AttemptRecord> attemptsOf(Map<String, Object> entry) {
        return ((List<?>) entry.get(ATTEMPTS_FIELD)).stream().map(AttemptRecord::decode).toList();
    }
}
