package org.meadowhollow.bookkeeping;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What another interface keeps beside a job of one task: an entry in a list of its own, written in
 * the same transactions as the job's records, so that no reader sees one of them older than the
 * other. Guarded like its job.
 */
public final class Companion {
    /**
     * Attempts kept in an entry; older ones are counted and left out, for an entry must stay small.
     */
    static final int MOST_LOGGED = 10;

    /** The words in the log for what is no exit of the task's own. */
    public static final String PREEMPTED = "PREEMPTED";

    public static final String LOST = "LOST";
    private static final String PROGRESS = "progress";
    private static final String LOG = "log";

    private final String key;
    private final Map<String, Object> entry;
    private final int mostAttempts;
    private final String trace;
    private final List<AttemptLog> log = new ArrayList<>();
    private Progress failure;

    /** The last attempt whose end those who trace the task were told. */
    private int lastTraced;

    /**
     * @param key of the entry in the state service
     * @param entry what never changes of it
     * @param mostAttempts after which the job is given up, 0 for as many as it takes
     * @param trace the context in which the job is traced, or null
     */
    public Companion(String key, Map<String, Object> entry, int mostAttempts, String trace) {
        this.key = key;
        this.entry = Map.copyOf(entry);
        this.mostAttempts = mostAttempts;
        this.trace = trace;
    }

    public String key() {
        return key;
    }

    Map<String, Object> record() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("key", key);
        map.put("entry", entry);
        map.put("most", (long) mostAttempts);
        if (trace != null) {
            map.put("trace", trace);
        }
        return map;
    }

    /** The key in a record, without the rest of it. */
    static String keyOf(Object record) {
        return record instanceof Map<?, ?> map ? (String) map.get("key") : null;
    }

    @SuppressWarnings("unchecked")
    static Companion of(Object record) {
        if (!(record instanceof Map<?, ?> map)) {
            return null;
        }
        return new Companion(
                (String) map.get("key"),
                (Map<String, Object>) map.get("entry"),
                ((Number) map.get("most")).intValue(),
                (String) map.get("trace"));
    }

    // ---- attempts ----

    /** Its task has a place now. */
    public void placed(Attempt attempt, MachineId machine, long millis) {
        log.add(new AttemptLog(attempt.value(), machine.value(), millis, 0, 0, null));
        if (log.size() > MOST_LOGGED) {
            log.remove(0);
        }
    }

    /** Its task runs; true if that is news. */
    public boolean started(Attempt attempt, long millis) {
        int at = find(attempt);
        if (at < 0 || log.get(at).startedMillis() > 0) {
            return false;
        }
        log.set(at, log.get(at).started(millis));
        return true;
    }

    /**
     * An attempt is over; when it was the last one allowed and did not complete the job, so is the
     * job.
     */
    public void over(Attempt attempt, String cause, long millis) {
        int at = find(attempt);
        if (at >= 0 && log.get(at).cause() == null) {
            AttemptLog open = log.get(at);
            if (open.startedMillis() == 0 && cause.equals(Cause.DONE.name())) {
                // Shorter than the pause between two reports: all that is known is that it ran
                // after it was placed.
                open = open.started(open.placedMillis());
            }
            log.set(at, open.ended(millis, cause));
        }
        if (mostAttempts > 0 && attempt.value() >= mostAttempts) {
            failure = failureOf(cause);
        }
    }

    private int find(Attempt attempt) {
        for (int at = log.size() - 1; at >= 0; at--) {
            if (log.get(at).attempt() == attempt.value()) {
                return at;
            }
        }
        return -1;
    }

    /** How the job ended that ran out of attempts, or null. */
    Progress failure() {
        return failure;
    }

    List<Object> encodeLog() {
        return new ArrayList<>(log.stream().map(AttemptLog::encode).toList());
    }

    /**
     * Takes in what a predecessor wrote of the attempts. None of them is the last one allowed: an
     * attempt that ends the job is written together with the job's end, never before it.
     */
    void restoreLog(Object encoded) {
        log.clear();
        if (encoded instanceof List<?> items) {
            items.forEach(item -> log.add(AttemptLog.decode(item)));
            // The predecessor told of those that its records show as over.
            untraced(0).forEach(each -> lastTraced = each.attempt().attempt());
        }
    }

    private static Progress failureOf(String cause) {
        return cause.equals(Cause.DONE.name())
                ? null
                : cause.equals(PREEMPTED)
                        ? Progress.PREEMPTED
                        : cause.equals(LOST) ? Progress.LOST : Progress.FAILED;
    }

    // ---- for those who trace the job ----

    /** An attempt that is over, and since when the job had waited for it. */
    record Over(long waitedFromMillis, AttemptLog attempt) {}

    /** The job as it is traced, or null. */
    public TaskTraces.Traced traced(JobId id, String team) {
        return trace == null ? null : new TaskTraces.Traced(trace, id, team);
    }

    /** The attempts that are over and that nobody was told of. */
    List<Over> untraced(long acceptedMillis) {
        List<Over> over = new ArrayList<>();
        for (int at = 0; at < log.size(); at++) {
            AttemptLog each = log.get(at);
            if (each.cause() != null && each.attempt() > lastTraced) {
                long since =
                        at > 0
                                ? log.get(at - 1).endedMillis()
                                : each.attempt() == 1 ? acceptedMillis : each.placedMillis();
                over.add(new Over(since, each));
            }
        }
        return over;
    }

    /** Tells of what a record that was written says is over. */
    void trace(TaskTraces traces, TaskTraces.Traced task, List<Over> over) {
        for (Over each : over) {
            lastTraced = each.attempt().attempt();
            traces.attempt(task, each.waitedFromMillis(), each.attempt());
        }
    }

    // ---- the entry ----

    /** The entry of a job that was just accepted. */
    public Map<String, Object> accepted() {
        return with(Progress.QUEUED, List.of());
    }

    /** The entry of a job as it is. */
    Map<String, Object> encode(Progress progress) {
        return with(progress, encodeLog());
    }

    private Map<String, Object> with(Progress progress, List<Object> attempts) {
        Map<String, Object> map = new LinkedHashMap<>(entry);
        map.put(PROGRESS, progress.name());
        map.put(LOG, attempts);
        return map;
    }

    /** An entry with the cancellation noted, as its user is told of it. */
    public static Map<String, Object> canceling(Map<String, Object> entry) {
        Map<String, Object> copy = new LinkedHashMap<>(entry);
        copy.put(PROGRESS, Progress.CANCELING.name());
        return copy;
    }

    public static Progress progressOf(Map<String, Object> entry) {
        return Progress.valueOf((String) entry.get(PROGRESS));
    }

    public static List<AttemptLog> logOf(Map<String, Object> entry) {
        return ((List<?>) entry.get(LOG)).stream().map(AttemptLog::decode).toList();
    }
}
