package org.meadowhollow.bookkeeping;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What another interface keeps beside a job of one task: an entry in a list of its own, written in the same transactions
 * as the job's records, so that no reader sees one of them older than the other. Guarded like its job.
 */
public final class Companion {
    /** Attempts kept in an entry; older ones are counted and left out, for an entry must stay small. */
    static final int MOST_LOGGED = 10;
    /** The words in the log for what is no exit of the task's own. */
    public static final String PREEMPTED = "PREEMPTED";
    public static final String LOST = "LOST";
    private static final String PROGRESS = "progress";
    private static final String LOG = "log";
    private static final String ENDED = "ended";

    private final String key;
    private final Map<String, Object> entry;
    private final int mostAttempts;
    private final List<AttemptLog> log = new ArrayList<>();
    private Progress failure;

    /**
     * @param key of the entry in the state service
     * @param entry what never changes of it
     * @param mostAttempts after which the job is given up, 0 for as many as it takes
     */
    public Companion(String key, Map<String, Object> entry, int mostAttempts) {
        this.key = key;
        this.entry = Map.copyOf(entry);
        this.mostAttempts = mostAttempts;
    }

    public String key() {
        return key;
    }

    Map<String, Object> record() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("key", key);
        map.put("entry", entry);
        map.put("most", (long) mostAttempts);
        return map;
    }

    @SuppressWarnings("unchecked")
    static Companion of(Object record) {
        if (!(record instanceof Map<?, ?> map)) {
            return null;
        }
        return new Companion((String) map.get("key"), (Map<String, Object>) map.get("entry"),
                ((Number) map.get("most")).intValue());
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
     * An attempt is over; when it was the last one allowed, so is the job.
     *
     * @param failed how the job ends if this was its last attempt; DONE if the attempt completed it
     */
    public void over(Attempt attempt, String cause, Progress failed, long millis) {
        int at = find(attempt);
        if (at >= 0 && log.get(at).cause() == null) {
            log.set(at, log.get(at).ended(millis, cause));
        }
        if (mostAttempts > 0 && attempt.value() >= mostAttempts && failed != Progress.DONE) {
            failure = failed;
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

    /** Takes in what a predecessor wrote of the attempts. */
    void restoreLog(Object encoded) {
        log.clear();
        if (encoded instanceof List<?> items) {
            items.forEach(item -> log.add(AttemptLog.decode(item)));
            if (!log.isEmpty()) {
                AttemptLog last = log.get(log.size() - 1);
                if (last.cause() != null && mostAttempts > 0 && last.attempt() >= mostAttempts) {
                    failure = failureOf(last.cause());
                }
            }
        }
    }

    private static Progress failureOf(String cause) {
        return cause.equals(Cause.DONE.name()) ? null : cause.equals(PREEMPTED) ? Progress.PREEMPTED
                : cause.equals(LOST) ? Progress.LOST : Progress.FAILED;
    }

    // ---- the entry ----

    /** The entry of a job that was just accepted. */
    public Map<String, Object> accepted() {
        return with(Progress.QUEUED, List.of(), 0);
    }

    /** The entry of a job as it is; {@code millis} is when it ended, if it has. */
    Map<String, Object> encode(Progress progress, long millis) {
        return with(progress, encodeLog(), progress.isFinal() ? millis : 0);
    }

    private Map<String, Object> with(Progress progress, List<Object> attempts, long endedMillis) {
        Map<String, Object> map = new LinkedHashMap<>(entry);
        map.put(PROGRESS, progress.name());
        map.put(LOG, attempts);
        map.put(ENDED, endedMillis);
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

    /** When the job ended, in milliseconds of the time of day; 0 if it has not. */
    public static long endedMillisOf(Map<String, Object> entry) {
        return ((Number) entry.get(ENDED)).longValue();
    }
}
