import com.sun.net.httpserver.HttpServer;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Jobs with a mistake fail on every machine until their users cancel them. Then a sound job is
 * submitted; all machines have room, each beside a replica of a service, and the cloud has no others.
 */
public final class CordonedCase {
    private static final String SERVICE = "req-000901";
    private static final String SOUND_JOB = "req-000999";
    private static final int MISTAKEN_JOBS = 5;
    private static final double WAIT_S = 90;

    private CordonedCase() {}

    public static void main(String[] arguments) throws Exception {
        CaseRun.main(arguments, CordonedCase::run);
    }

    private static int run(CaseRun run) throws Exception {
        StandIn.Recorder recorder = run.recorder;
        StandIn.Store store = new StandIn.Store(80, 30, 12, 16);
        run.controllers = new StandIn.Controllers(run.root, run.folder, recorder, 3);
        StandIn.Plant plant = new StandIn.Plant(recorder, 3, 18, 30);
        List<StandIn.Worker> workers = new ArrayList<>();
        for (int at = 0; at < 3; at++) {
            String name = "vm-00050" + at;
            workers.add(
                    new StandIn.Worker(
                            name, at == 0 ? "zarqa-hall" : "irbid-depot", false, plant,
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
        // All machines have reported by then, so each gets a replica.
        StandIn.sleep(5);
        String first = run.controllers.listen.values().iterator().next();
        submit(run, plant, user, first, SERVICE, "standing", 3, 100000);
        await(run, () -> workers.stream().filter(worker -> !worker.isEmpty()).count() == 3, "the service does not run");
        for (int at = 1; at <= (run.trouble ? MISTAKEN_JOBS : 0); at++) {
            String job = "req-00091" + at;
            submit(run, plant, user, first, job, "array", 1, -1);
            StandIn.sleep(3.2);
            StandIn.Answer answer = StandIn.send(user, first, "POST", "/submissions/" + job + "/cancel", null, 5);
            recorder.log("user: cancel %s answered %d %s", job, answer.status(), answer.body());
        }
        submit(run, plant, user, first, SOUND_JOB, "array", 1, 100000);
        double from = recorder.seconds();
        boolean started = false;
        while (!started && recorder.seconds() < from + WAIT_S) {
            started = workers.stream().anyMatch(worker -> worker.has(SOUND_JOB + "/0", "running"));
            StandIn.sleep(0.1);
        }
        recorder.log("the sound job %s after %.1f s", started ? "runs" : "waits", recorder.seconds() - from);
        run.controllers.recordLogs("cordoned", "elected", SOUND_JOB);
        return started ? CaseRun.HELD : CaseRun.BROKEN;
    }

    private interface Condition {
        boolean holds();
    }

    private static void await(CaseRun run, Condition condition, String otherwise) throws Exception {
        double until = run.recorder.seconds() + 15;
        while (!condition.holds()) {
            if (run.recorder.seconds() > until) {
                throw new CaseRun.CannotRun(otherwise);
            }
            StandIn.sleep(0.1);
        }
    }

    private static void submit(
            CaseRun run, StandIn.Plant plant, HttpClient user, String first, String ref, String shape, int tasks, double runS)
            throws Exception {
        plant.upload(ref, new StandIn.JobText("img-02", tasks, false, runS, 0));
        Map<String, Object> job =
                StandIn.submission(
                        ref, "street-sweep", shape, tasks, 4, 1, 14, "img-02", 7, false, false, 40, 0, 0);
        StandIn.Answer answer = StandIn.send(user, first, "POST", "/submissions", job, 5);
        run.recorder.log("user: POST /submissions %s answered %d %s", job, answer.status(), answer.body());
        if (answer.status() != 201) {
            throw new CaseRun.CannotRun("a job was not accepted");
        }
    }
}
