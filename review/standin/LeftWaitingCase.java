import com.sun.net.httpserver.HttpServer;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Three times in its life a replica of a service fails. The third one is not started again, although
 * machines have room.
 */
public final class LeftWaitingCase {
    private static final String SERVICE = "req-000701";
    private static final String LATER_JOB = "req-000702";
    private static final int FAILURES = 3;
    private static final double WAIT_S = 90;

    private LeftWaitingCase() {}

    public static void main(String[] arguments) throws Exception {
        CaseRun.main(arguments, LeftWaitingCase::run);
    }

    private static int run(CaseRun run) throws Exception {
        StandIn.Recorder recorder = run.recorder;
        StandIn.Store store = new StandIn.Store(80, 30, 12, 16);
        run.controllers = new StandIn.Controllers(run.root, run.folder, recorder, 3);
        StandIn.Plant plant = new StandIn.Plant(recorder, 3, 18, 30);
        List<StandIn.Worker> workers = new ArrayList<>();
        for (int at = 0; at < 6; at++) {
            String name = "vm-00030" + at;
            workers.add(
                    new StandIn.Worker(
                            name, at % 2 == 0 ? "zarqa-hall" : "irbid-depot", false, plant,
                            run.controllers.listen, new HashMap<>(), name.hashCode()));
        }
        String cloud =
                StandIn.address(
                        new StandIn.Cloud(recorder, workers, List.of("zarqa-hall", "irbid-depot"))
                                .listen());
        String settings =
                StandIn.settings(
                        "[\"irbid-depot\",\"zarqa-hall\"]",
                        "[{\"name\":\"routing-desk\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":0.0,\"gpus_max\":0.0}]");
        int node = 0;
        for (String member : run.controllers.listen.keySet()) {
            HttpServer listener = store.listen(node++);
            run.controllers.start(member, "zarqa-hall", cloud, StandIn.address(listener), settings);
        }
        workers.forEach(StandIn.Worker::start);
        HttpClient user = StandIn.newClient();
        if (!run.controllers.awaitReady(user, 30)) {
            throw new CaseRun.CannotRun("the controllers are not ready");
        }
        submit(run, plant, user, SERVICE, "standing", 2, 100000);
        if (!awaitReplicas(workers, 2, recorder, 15)) {
            throw new CaseRun.CannotRun("the service does not run");
        }
        int failures = run.trouble ? FAILURES : 0;
        for (int failure = 1; failure <= failures; failure++) {
            // The replica has run for a moment, and its machine has reported that.
            StandIn.sleep(1.5);
            StandIn.Worker machine = machineOf(workers, "irbid-depot");
            if (machine == null) {
                throw new CaseRun.CannotRun("no replica runs in irbid-depot");
            }
            recorder.log("failure %d of %d: the replica on %s exits with error", failure, failures, machine.name);
            machine.fail(taskOn(machine));
            if (failure < failures && !awaitReplicas(workers, 2, recorder, 20)) {
                throw new CaseRun.CannotRun("the replica was not started again after failure " + failure);
            }
        }
        double from = recorder.seconds();
        double missingSince = from;
        double longest = 0;
        double nextPollAt = from;
        while (recorder.seconds() < from + WAIT_S + 0.5) {
            if (replicas(workers) == 2) {
                missingSince = recorder.seconds();
            }
            longest = Math.max(longest, recorder.seconds() - missingSince);
            if (recorder.seconds() > nextPollAt) {
                nextPollAt += 10;
                String first = run.controllers.listen.values().iterator().next();
                StandIn.Answer answer =
                        StandIn.send(user, first, "GET", "/submissions/" + SERVICE, null, 2);
                recorder.log(
                        "user: GET /submissions/%s answered %d %s; machines with room for a replica in irbid-depot: %s",
                        SERVICE, answer.status(), answer.body(), machinesWithRoom(workers));
            }
            StandIn.sleep(0.1);
        }
        List<String> room = machinesWithRoom(workers);
        // Another job, to show that machines take tasks.
        submit(run, plant, user, LATER_JOB, "standing", 1, 100000);
        StandIn.sleep(4);
        recorder.log("the later job runs: %s", workers.stream().anyMatch(worker -> worker.has(LATER_JOB + "/0", "running")));
        recorder.log("longest time with a replica missing: %.1f s; replicas: %d; machines with room in irbid-depot: %s", longest, replicas(workers), room);
        run.controllers.recordLogs(SERVICE, LATER_JOB, "elected", "cordoned");
        if (!run.controllers.allAlive()) {
            throw new CaseRun.CannotRun("a controller ended");
        }
        if (longest >= WAIT_S && !room.isEmpty()) {
            System.out.printf(
                    "left waiting: a replica of %s has been missing for %.1f s while %s have room%n",
                    SERVICE, longest, room);
            return CaseRun.BROKEN;
        }
        return CaseRun.HELD;
    }

    private static void submit(
            CaseRun run, StandIn.Plant plant, HttpClient user, String ref, String shape, int tasks, double runS)
            throws Exception {
        plant.upload(ref, new StandIn.JobText("img-02", tasks, false, runS, 0));
        Map<String, Object> job =
                StandIn.submission(
                        ref, "bin-lookup", shape, tasks, 4, 1, 14, "img-02", 7, false, false, 0, 0, 0);
        job.put("urgency", "critical");
        job.put("spread", true);
        String first = run.controllers.listen.values().iterator().next();
        StandIn.Answer answer = StandIn.send(user, first, "POST", "/submissions", job, 5);
        run.recorder.log("user: POST /submissions %s answered %d %s", job, answer.status(), answer.body());
        if (answer.status() != 201) {
            throw new CaseRun.CannotRun("a job was not accepted");
        }
    }

    private static int replicas(List<StandIn.Worker> workers) {
        int running = 0;
        for (StandIn.Worker worker : workers) {
            running += taskOn(worker) == null ? 0 : 1;
        }
        return running;
    }

    private static boolean awaitReplicas(
            List<StandIn.Worker> workers, int count, StandIn.Recorder recorder, double seconds) {
        double until = recorder.seconds() + seconds;
        while (recorder.seconds() < until) {
            if (replicas(workers) == count) {
                return true;
            }
            StandIn.sleep(0.05);
        }
        return false;
    }

    private static String taskOn(StandIn.Worker worker) {
        for (String task : List.of(SERVICE + "/0", SERVICE + "/1")) {
            if (worker.has(task, "running")) {
                return task;
            }
        }
        return null;
    }

    private static StandIn.Worker machineOf(List<StandIn.Worker> workers, String zone) {
        for (StandIn.Worker worker : workers) {
            if (worker.zone.equals(zone) && taskOn(worker) != null) {
                return worker;
            }
        }
        return null;
    }

    /** Machines that are up, in the zone of the missing replica, with nothing on them. */
    private static List<String> machinesWithRoom(List<StandIn.Worker> workers) {
        return workers.stream()
                .filter(worker -> worker.zone.equals("irbid-depot") && !worker.gone && worker.isEmpty())
                .map(worker -> worker.name)
                .toList();
    }
}
