import com.sun.net.httpserver.HttpServer;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A gang's task gave up waiting and is told to wait again in the same attempt; that answer is held
 * up for 3.8 s. Meanwhile a job of higher priority takes the machine of the gang's other task.
 */
public final class RanTwiceCase {
    private static final String GANG = "req-000501";
    private static final String SERVICE = "req-000502";
    private static final double HELD_UP_S = 3.8;

    private RanTwiceCase() {}

    public static void main(String[] arguments) throws Exception {
        CaseRun.main(arguments, RanTwiceCase::run);
    }

    private static int run(CaseRun run) throws Exception {
        StandIn.Recorder recorder = run.recorder;
        StandIn.Store store = new StandIn.Store(80, 30, 12, 16);
        run.controllers = new StandIn.Controllers(run.root, run.folder, recorder, 3);
        StandIn.Plant plant = new StandIn.Plant(recorder, 3, 18, 30);
        // The second and third machine have the image in their cache, the first one fetches it.
        List<StandIn.Worker> workers = new ArrayList<>();
        workers.add(worker("vm-000101", "irbid-depot", plant, run, 55.0));
        workers.add(worker("vm-000102", "zarqa-hall", plant, run, 0.0));
        workers.add(worker("vm-000103", "zarqa-hall", plant, run, 0.0));
        StandIn.Worker waitingMachine = workers.get(1);
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
        HttpClient user = StandIn.newClient();
        if (!run.controllers.awaitReady(user, 30)) {
            throw new CaseRun.CannotRun("the controllers are not ready");
        }
        plant.upload(GANG, new StandIn.JobText("img-07", 2, true, 15, 3));
        plant.upload(SERVICE, new StandIn.JobText("img-09", 1, false, 1000, 0));
        AtomicBoolean answered = new AtomicBoolean();
        waitingMachine.answerDelay =
                (report, answer) -> {
                    if (!startsAgain(report, answer) || !answered.compareAndSet(false, true)) {
                        return 0;
                    }
                    recorder.log(
                            "worker vm-000102: report %s %s is answered %s; %s",
                            report.get("tally"),
                            report.get("chores"),
                            answer.body(),
                            run.trouble ? "the answer is held up" : "the answer arrives at once");
                    return run.trouble ? HELD_UP_S : 0;
                };
        workers.forEach(StandIn.Worker::start);
        StandIn.sleep(6);
        submit(
                run,
                user,
                StandIn.submission(
                        GANG, "fleet-solve", "ensemble", 2, 21, 4, 77, "img-07", 6, false, false, 90, 20, 3));
        double until = recorder.seconds() + 60;
        while (!answered.get() && recorder.seconds() < until) {
            StandIn.sleep(0.1);
        }
        if (!answered.get()) {
            run.controllers.recordLogs(GANG, "elected");
            throw new CaseRun.CannotRun("no task that gave up waiting was told to wait again");
        }
        Map<String, Object> service =
                StandIn.submission(
                        SERVICE, "bin-lookup", "standing", 1, 4, 1, 14, "img-09", 7, false, false, 0, 0, 0);
        service.put("urgency", "critical");
        service.put("field", "irbid-depot");
        submit(run, user, service);
        StandIn.sleep(12);
        run.controllers.recordLogs(GANG, SERVICE, "elected");
        if (!run.controllers.allAlive()) {
            throw new CaseRun.CannotRun("a controller ended");
        }
        for (String text : plant.ranTwice) {
            System.out.println("ran_twice: " + text);
        }
        return plant.ranTwice.isEmpty() ? CaseRun.HELD : CaseRun.BROKEN;
    }

    private static void submit(CaseRun run, HttpClient user, Map<String, Object> job) throws Exception {
        String address = run.controllers.listen.values().iterator().next();
        StandIn.Answer answer = StandIn.send(user, address, "POST", "/submissions", job, 5);
        run.recorder.log("user: POST /submissions %s answered %d %s", job, answer.status(), answer.body());
        if (answer.status() != 201) {
            throw new CaseRun.CannotRun("a job was not accepted");
        }
    }

    private static StandIn.Worker worker(
            String name, String zone, StandIn.Plant plant, CaseRun run, double fetchS) throws Exception {
        Map<String, Double> fetch = new HashMap<>(Map.of("img-07", fetchS, "img-09", 58.0));
        return new StandIn.Worker(
                name, zone, false, plant, run.controllers.listen, fetch, name.hashCode());
    }

    /** The report lists a task that gave up waiting, and the answer starts it again. */
    private static boolean startsAgain(Map<String, Object> report, StandIn.Answer answer) {
        boolean gaveUp =
                StandIn.maps(report.get("chores")).stream()
                        .anyMatch(chore -> "incomplete".equals(chore.get("cause")));
        return gaveUp
                && StandIn.maps(answer.body().get("orders")).stream()
                        .anyMatch(order -> "run".equals(order.get("verb")));
    }
}
