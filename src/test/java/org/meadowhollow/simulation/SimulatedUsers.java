package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.coordination.admission.AdmissionService.JobStatus;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.protocol.jobs.JobApi;
import org.meadowhollow.protocol.jobs.SubmissionCodec;

/**
 * The users of the native job API: they submit, poll and cancel jobs at any node, and the {@link
 * HistoryChecker} checks every answer. Not thread-safe: everything runs on the virtual event loop;
 * the methods that wait for an answer advance virtual time.
 */
final class SimulatedUsers {
    private static final int MAX_HUNG_MACHINES = 8;
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(5);
    private static final int CANCELLATION_SPREAD_MILLIS = 200;
    private static final int MAX_CANCELLATION_DELAY_MILLIS = 400;
    private static final int POLLS_PER_NODE = 3;

    private interface AdmissionRequest<T> {
        CompletableFuture<T> send(AdmissionService admissionService);
    }

    /** About the time until the leader has written the end of a job. */
    private static final int MAX_COMPLETION_POLL_DELAY_MILLIS = 100;

    private final SimulatedCluster cluster;
    private final HistoryChecker historyChecker;

    /** The phase of each job when it was last polled at all nodes. */
    private final Map<JobId, Phase> polledPhases = new HashMap<>();

    private boolean pollsAllAfterAnswers;

    /** Chooses the jobs that are cancelled at their completion; null if none are. */
    private Random cancelRandom;

    private double cancelledShare;

    /** Chooses when and where completed jobs are polled; null if they are not polled then. */
    private Random completionPollRandom;

    private final Set<JobId> polledAtCompletion = new HashSet<>();

    private int asyncAnswerCount;
    private int pollCount;

    SimulatedUsers(SimulatedCluster cluster, HistoryChecker historyChecker) {
        this.cluster = cluster;
        this.historyChecker = historyChecker;
    }

    // ---- submissions ----

    /**
     * Submits a job and waits five seconds for the answer.
     *
     * @param runtime the runtime of its tasks; null if they run until they are cancelled
     * @return whether the job was accepted
     */
    boolean submit(int node, JobSpec spec, Duration runtime) {
        recordSubmission(spec, runtime);
        cluster.network()
                .maybeDuplicate(
                        () -> {
                            CompletableFuture<Optional<JobStatus>> unused =
                                    resubmitAsync(node, spec);
                        });
        return await(node, admissionService -> submit(admissionService, spec)).isPresent();
    }

    /** Submits a job without waiting for the answer. */
    CompletableFuture<Optional<JobStatus>> submitAsync(int node, JobSpec spec, Duration runtime) {
        recordSubmission(spec, runtime);
        return resubmitAsync(node, spec);
    }

    /** Repeats the submission of a job, without waiting for the answer. */
    CompletableFuture<Optional<JobStatus>> resubmitAsync(int node, JobSpec spec) {
        return send(node, admissionService -> submit(admissionService, spec));
    }

    private void recordSubmission(JobSpec spec, Duration runtime) {
        cluster.addJob(spec, runtime);
        historyChecker.recordSubmission(spec.id());
    }

    private CompletableFuture<Optional<JobStatus>> submit(
            AdmissionService admissionService, JobSpec spec) {
        return checkWhenAnswered(
                spec.id(),
                admissionService
                        .submit(transmit(spec))
                        .thenApply(result -> Optional.of(result.status())));
    }

    /** Returns what a controller reads of a submission that a user encoded. */
    private JobSpec transmit(JobSpec spec) {
        byte[] body = cluster.encoding().encode(SubmissionCodec.encode(spec));
        try {
            return SubmissionCodec.decode(MessageReader.decodeRequest(body));
        } catch (MalformedMessageException refused) {
            throw new AssertionError(refused);
        }
    }

    /**
     * Posts a submission as a user does.
     *
     * @return the HTTP status, or 0 without an answer
     */
    int postSubmission(int node, Map<String, Object> body) {
        return await(node, admissionService -> post(admissionService, body))
                .map(Http.Reply::status)
                .orElse(0);
    }

    private CompletableFuture<Http.Reply> post(
            AdmissionService admissionService, Map<String, Object> body) {
        return new JobApi(admissionService).submit(cluster.encoding().encode(body));
    }

    // ---- polls and cancellations ----

    /** Polls a job and waits five seconds for the answer; empty if none comes. */
    Optional<JobStatus> poll(int node, JobId id) {
        return await(
                        node,
                        admissionService -> checkWhenAnswered(id, admissionService.getStatus(id)))
                .flatMap(status -> status);
    }

    /** Polls a job without waiting for the answer. */
    void pollAsync(int node, JobId id) {
        CompletableFuture<Void> unused =
                send(
                        node,
                        admissionService ->
                                checkWhenAnswered(id, admissionService.getStatus(id))
                                        .thenAccept(status -> asyncAnswerCount++));
    }

    /** Returns the number of answers to {@link #pollAsync}. */
    int asyncAnswerCount() {
        return asyncAnswerCount;
    }

    /** Cancels a job and waits five seconds for the answer; false if none comes. */
    boolean cancel(int node, JobId id) {
        historyChecker.recordCancelRequest(id);
        cluster.network()
                .maybeDuplicate(
                        () -> {
                            CompletableFuture<Optional<JobStatus>> unused = cancelAsync(node, id);
                        });
        return await(node, admissionService -> checkWhenAnswered(id, admissionService.cancel(id)))
                .isPresent();
    }

    /** Cancels a job without waiting for the answer. */
    CompletableFuture<Optional<JobStatus>> cancelAsync(int node, JobId id) {
        historyChecker.recordCancelRequest(id);
        return send(node, admissionService -> checkWhenAnswered(id, admissionService.cancel(id)));
    }

    /**
     * Cancels jobs within a fifth of a second, each at the next node, while up to eight machines
     * that run their tasks hang for a time.
     */
    void cancelDuringHang(List<JobSpec> jobs, Duration hangTime) {
        Set<FakeWorker> runningWorkers = new HashSet<>();
        for (int index = 0; index < jobs.size(); index++) {
            JobSpec job = jobs.get(index);
            int node = index % cluster.nodeCount();
            cluster.loop()
                    .schedule(
                            Duration.ofMillis(
                                    (long) CANCELLATION_SPREAD_MILLIS * index / jobs.size()),
                            () -> {
                                CompletableFuture<Optional<JobStatus>> unused =
                                        cancelAsync(node, job.id());
                            });
            cluster.workers().stream()
                    .filter(worker -> worker.runsTaskOf(job.id()))
                    .forEach(runningWorkers::add);
        }
        runningWorkers.stream()
                .limit(hangTime.isZero() ? 0 : MAX_HUNG_MACHINES)
                .forEach(
                        worker -> {
                            worker.setHung(true);
                            cluster.loop().schedule(hangTime, () -> worker.setHung(false));
                        });
    }

    /** Cancels a share of the jobs at the moment of their completion; share 0 ends it. */
    void cancelAtCompletion(double share, long seed) {
        cancelRandom = share == 0 ? null : new Random(seed);
        cancelledShare = share;
    }

    /**
     * Called when a task has completed on its machine; its job may be cancelled at the same moment.
     */
    void onTaskCompleted(JobSpec spec) {
        boolean jobEnds =
                spec.kind() == JobKind.GANG
                        || (!historyChecker.isReportedEnded(spec.id())
                                && IntStream.range(0, spec.taskCount())
                                        .mapToObj(task -> new TaskId(spec.id(), task))
                                        .allMatch(historyChecker::isCompleted));
        if (jobEnds && cancelRandom != null && cancelRandom.nextDouble() < cancelledShare) {
            int node = cancelRandom.nextInt(cluster.nodeCount());
            cluster.loop()
                    .schedule(
                            Duration.ofMillis(cancelRandom.nextInt(MAX_CANCELLATION_DELAY_MILLIS)),
                            () -> {
                                CompletableFuture<Optional<JobStatus>> unused =
                                        cancelAsync(node, spec.id());
                            });
        }
    }

    /** Makes users poll each job at one node when a worker reports its completion. */
    void pollAtReportedCompletion(long seed) {
        completionPollRandom = new Random(seed);
    }

    /** Called when a heartbeat reports a completed task; users may poll its job just then. */
    void onCompletionReported(JobId id) {
        if (completionPollRandom == null || !polledAtCompletion.add(id)) {
            return;
        }
        int node = completionPollRandom.nextInt(cluster.nodeCount());
        Duration delay =
                Duration.ofMillis(completionPollRandom.nextInt(MAX_COMPLETION_POLL_DELAY_MILLIS));
        cluster.loop().schedule(delay, () -> pollAsync(node, id));
    }

    /** Returns the jobs with running tasks that were not reported to any user as ended. */
    List<JobSpec> runningJobs() {
        return cluster.knownJobs().stream()
                .filter(
                        spec ->
                                !historyChecker.isReportedEnded(spec.id())
                                        && cluster.workers().stream()
                                                .anyMatch(worker -> worker.runsTaskOf(spec.id())))
                .toList();
    }

    // ---- polls at all nodes ----

    /**
     * Makes users, whenever an answer reports a phase of a job, poll the job at all nodes within
     * milliseconds and repeat its submission.
     */
    void pollAllAfterAnswers(boolean poll) {
        pollsAllAfterAnswers = poll;
    }

    private void pollAtAllNodes(JobId id, Phase phase) {
        if (phase == polledPhases.put(id, phase)) {
            return;
        }
        for (int node = 0; node < cluster.nodeCount(); node++) {
            int target = node;
            for (int repetition = 1; repetition <= POLLS_PER_NODE; repetition++) {
                cluster.loop()
                        .schedule(
                                Duration.ofMillis(2L * repetition + node),
                                () -> pollAsync(target, id));
            }
            cluster.loop()
                    .schedule(
                            Duration.ofMillis(3 + node),
                            () -> {
                                CompletableFuture<Optional<JobStatus>> unused =
                                        resubmitAsync(target, cluster.spec(id));
                            });
        }
    }

    /** Polls every unfinished job from now on, at the nodes in turn. */
    void pollUnfinishedJobs() {
        historyChecker.unfinished().forEach(id -> pollAsync(pollCount++ % cluster.nodeCount(), id));
        cluster.loop().schedule(POLL_INTERVAL, this::pollUnfinishedJobs);
    }

    // ---- unusual requests ----

    /**
     * Sends a random unusual request: a repeated submission, the cancellation of a job that has
     * ended, or a submission that cannot run or lacks a field.
     */
    void sendUnusualRequest(Random random) {
        int node = random.nextInt(cluster.nodeCount());
        List<JobSpec> knownJobs = cluster.knownJobs();
        if (knownJobs.isEmpty()) {
            return;
        }
        JobSpec job = knownJobs.get(random.nextInt(knownJobs.size()));
        switch (random.nextInt(5)) {
            case 0, 1 -> {
                CompletableFuture<Optional<JobStatus>> unused = resubmitAsync(node, job);
            }
            case 2 -> {
                if (historyChecker.isReportedEnded(job.id())) {
                    CompletableFuture<Optional<JobStatus>> unused = cancelAsync(node, job.id());
                }
            }
            case 3 -> postUnschedulable(node, random);
            default -> postIncomplete(node, random);
        }
    }

    private void postUnschedulable(int node, Random random) {
        JobSpec tooLarge =
                SimulatedCluster.spec(900_000 + random.nextInt(1000), JobKind.ARRAY, 1, 9);
        expectRejection(node, 422, SubmissionCodec.encode(tooLarge));
    }

    private void postIncomplete(int node, Random random) {
        Map<String, Object> body =
                new HashMap<>(
                        SubmissionCodec.encode(
                                SimulatedCluster.spec(910_000, JobKind.ARRAY, 1, 1)));
        List<String> fieldNames =
                body.keySet().stream().filter(key -> body.get(key) != null).sorted().toList();
        body.remove(fieldNames.get(random.nextInt(fieldNames.size())));
        expectRejection(node, 400, body);
    }

    private void expectRejection(int node, int status, Map<String, Object> body) {
        CompletableFuture<Void> unused =
                send(
                        node,
                        admissionService ->
                                post(admissionService, body)
                                        .thenAccept(reply -> checkRejection(reply, status)));
    }

    private void checkRejection(Http.Reply reply, int status) {
        cluster.recordViolations(
                () ->
                        assertTrue(
                                reply.status() == status || reply.status() == 503,
                                "unexpected status " + reply.status()));
    }

    // ---- sending ----

    /** Checks an answer, when it comes, against the answers given before its request was sent. */
    private CompletableFuture<Optional<JobStatus>> checkWhenAnswered(
            JobId id, CompletableFuture<Optional<JobStatus>> answer) {
        MonotonicTime sentAt = cluster.loop().now();
        CompletableFuture<Void> unused =
                answer.thenAccept(
                        status ->
                                cluster.recordViolations(
                                        () ->
                                                checkAnswer(
                                                        id,
                                                        status.map(JobStatus::phase).orElse(null),
                                                        sentAt)));
        return answer;
    }

    private void checkAnswer(JobId id, Phase phase, MonotonicTime sentAt) {
        historyChecker.checkAnswer(id, phase, sentAt, cluster.loop().now());
        if (pollsAllAfterAnswers && phase != null) {
            pollAtAllNodes(id, phase);
        }
    }

    /** Sends a request without waiting; it fails if no process answers. */
    private <T> CompletableFuture<T> send(int index, AdmissionRequest<T> request) {
        SimulatedNode node = cluster.nodes().get(index);
        return node.isResponsive()
                ? request.send(node.admissionService())
                : CompletableFuture.failedFuture(new IllegalStateException("down"));
    }

    /** Sends a request and waits five seconds for the answer; empty if none or an error comes. */
    private <T> Optional<T> await(int index, AdmissionRequest<T> request) {
        SimulatedNode node = cluster.nodes().get(index);
        if (!node.isResponsive()) {
            return Optional.empty();
        }
        CompletableFuture<T> answer = request.send(node.admissionService());
        cluster.runUntilAnswered(answer);
        return answer.isDone() && !answer.isCompletedExceptionally()
                ? Optional.of(answer.join())
                : Optional.empty();
    }
}
