import com.sun.net.httpserver.HttpServer;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A user submits a gang of as many tasks as a job may have, and users ask about another job. */
public final class HugeGangCase {
    private static final String SERVICE = "req-000801";
    private static final String GANG = "req-000802";
    private static final int GANG_TASKS = 100_000;
    private static final double FORGOTTEN_S = 75;
    private static final double END_S = 108;

    private HugeGangCase() {}

    public static void main(String[] arguments) throws Exception {
        CaseRun.main(arguments, HugeGangCase::run);
    }

    private static int run(CaseRun run) throws Exception {
        StandIn.Recorder recorder = run.recorder;
        StandIn.Store store = new StandIn.Store(80, 30, 12, 16);
        run.controllers = new StandIn.Controllers(run.root, run.folder, recorder, 3);
        StandIn.Plant plant = new StandIn.Plant(recorder, 3, 18, 30);
        List<StandIn.Worker> workers = new ArrayList<>();
        for (int at = 0; at < 4; at++) {
            String name = "vm-00040" + at;
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
        submit(run, plant, user, SERVICE, "standing", 4, 4, 1);
        double until = recorder.seconds() + 15;
        while (running(workers, SERVICE, 4) < 4) {
            if (recorder.seconds() > until) {
                throw new CaseRun.CannotRun("the service does not run");
            }
            StandIn.sleep(0.1);
        }
        StandIn.sleep(2);
        submit(run, plant, user, GANG, "ensemble", run.trouble ? GANG_TASKS : 2, 21, 4);
        double from = recorder.seconds();
        Map<String, Double> answeredAt = new ConcurrentHashMap<>();
        for (String member : run.controllers.listen.keySet()) {
            answeredAt.put(member, from);
            Thread asking = new Thread(() -> askAgainAndAgain(run, member, answeredAt));
            asking.setDaemon(true);
            asking.start();
        }
        double longest = 0;
        double nextLogAt = from;
        while (recorder.seconds() < END_S && longest < FORGOTTEN_S + 1) {
            double now = recorder.seconds();
            double silent = now - answeredAt.values().stream().mapToDouble(each -> each).max().orElse(from);
            longest = Math.max(longest, silent);
            if (now > nextLogAt) {
                nextLogAt += 5;
                recorder.log(
                        "leader key: %s; replicas that run: %d of 4; last answers at %s; none for %.1f s",
                        store.valueOf("meta/leader"), running(workers, SERVICE, 4), answeredAt, silent);
            }
            StandIn.sleep(0.1);
        }
        recorder.log("longest span in which no controller answered a question about %s: %.1f s", SERVICE, longest);
        run.controllers.recordLogs("elected", "lost", "rental", "admitted");
        if (!run.controllers.allAlive()) {
            throw new CaseRun.CannotRun("a controller ended");
        }
        if (longest <= FORGOTTEN_S) {
            return CaseRun.HELD;
        }
        System.out.printf(
                "forgotten: no question about %s was answered for %.1f s, by any controller; %d of 4 replicas run%n",
                SERVICE, longest, running(workers, SERVICE, 4));
        return CaseRun.BROKEN;
    }

    private static void askAgainAndAgain(CaseRun run, String member, Map<String, Double> answeredAt) {
        HttpClient client = StandIn.newClient();
        while (true) {
            double sentAt = run.recorder.seconds();
            try {
                StandIn.Answer answer =
                        StandIn.send(client, run.controllers.listen.get(member), "GET", "/submissions/" + SERVICE, null, 2);
                run.recorder.log("user: GET /submissions/%s at %s, sent at %.3f, answered %d %s", SERVICE, member, sentAt, answer.status(), answer.body());
                if (answer.status() == 200 || answer.status() == 404) {
                    answeredAt.put(member, run.recorder.seconds());
                }
            } catch (Exception noAnswer) {
                run.recorder.log("user: GET /submissions/%s at %s, sent at %.3f: no answer (%s)", SERVICE, member, sentAt, noAnswer.getClass().getSimpleName());
            }
            StandIn.sleep(1);
        }
    }

    private static void submit(
            CaseRun run, StandIn.Plant plant, HttpClient user, String ref, String shape, int tasks, double cores, double gpus)
            throws Exception {
        plant.upload(ref, new StandIn.JobText("img-02", tasks, shape.equals("ensemble"), 100000, 0));
        Map<String, Object> job =
                StandIn.submission(
                        ref, "fleet-solve", shape, tasks, cores, gpus, 14, "img-02", 7, false, false, 90, 0, 0);
        for (String address : run.controllers.listen.values()) {
            try {
                StandIn.Answer answer = StandIn.send(user, address, "POST", "/submissions", job, 5);
                run.recorder.log("user: POST /submissions %s answered %d %s", job, answer.status(), answer.body());
                if (answer.status() == 201 || answer.status() == 200) {
                    return;
                }
            } catch (java.io.IOException failed) {
                run.recorder.log("user: POST /submissions %s: %s", ref, failed);
            }
        }
        throw new CaseRun.CannotRun("a job was not accepted");
    }

    private static int running(List<StandIn.Worker> workers, String job, int tasks) {
        int count = 0;
        for (int task = 0; task < tasks; task++) {
            String id = job + "/" + task;
            count += workers.stream().anyMatch(worker -> worker.has(id, "running")) ? 1 : 0;
        }
        return count;
    }
}
