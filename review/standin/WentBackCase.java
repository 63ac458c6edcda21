import com.sun.net.httpserver.HttpServer;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Users ask one controller for the first time just as their jobs end or are cancelled, while a few
 * answers of the state service take a few hundred milliseconds. Then they ask again.
 */
public final class WentBackCase {
    private static final int MACHINES = 5;
    private static final double SLOW_BEFORE_S = 0.25;
    private static final double SLOW_AFTER_S = 0.35;
    private static final double SPELL_S = 0.5;
    private static final String CANCELLED = "req-000601";

    private WentBackCase() {}

    public static void main(String[] arguments) throws Exception {
        CaseRun.main(arguments, WentBackCase::run);
    }

    private static int run(CaseRun run) throws Exception {
        StandIn.Recorder recorder = run.recorder;
        StandIn.Store store = new StandIn.Store(80, 30, 12, 16);
        run.controllers = new StandIn.Controllers(run.root, run.folder, recorder, 3);
        StandIn.Plant plant = new StandIn.Plant(recorder, 3, 18, 30);
        List<StandIn.Worker> workers = new ArrayList<>();
        for (int at = 0; at < MACHINES; at++) {
            String name = "vm-00020" + at;
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
        HttpClient user = StandIn.newClient();
        if (!run.controllers.awaitReady(user, 30)) {
            throw new CaseRun.CannotRun("the controllers are not ready");
        }
        workers.forEach(StandIn.Worker::start);
        StandIn.sleep(5);
        // The asked node is one that does not lead; all else goes to another one.
        Map<?, ?> leader = (Map<?, ?>) store.valueOf("meta/leader");
        List<String> members = new ArrayList<>(run.controllers.listen.keySet());
        int asked = members.get(2).equals(leader.get("member")) ? 1 : 2;
        String askedAddress = run.controllers.listen.get(members.get(asked));
        String otherAddress = run.controllers.listen.get(members.get(0));
        recorder.log("%s leads; users ask %s, all else goes to %s", leader.get("member"), members.get(asked), members.get(0));
        List<String> jobs = new ArrayList<>();
        for (int at = 0; at < MACHINES; at++) {
            jobs.add("req-00060" + (at + 1));
        }
        for (String job : jobs) {
            plant.upload(job, new StandIn.JobText("img-03", 1, false, 1000, 0));
            Map<String, Object> body =
                    StandIn.submission(
                            job, "street-sweep", "array", 1, 21, 4, 77, "img-03", 6, false, false, 40, 0, 0);
            StandIn.Answer answer = StandIn.send(user, otherAddress, "POST", "/submissions", body, 5);
            recorder.log("user: POST /submissions %s at %s answered %d %s", job, members.get(0), answer.status(), answer.body());
            if (answer.status() != 201) {
                throw new CaseRun.CannotRun("a job was not accepted");
            }
        }
        awaitAllRunning(workers, jobs, recorder);
        StandIn.sleep(2);

        int askedNode = asked;
        double spellFrom = recorder.seconds();
        CountDownLatch readings = new CountDownLatch(jobs.size());
        store.delays =
                    (at, method, path, query) -> {
                        if (at == askedNode && path.startsWith("/kv/job/")) {
                            readings.countDown();
                        }
                        if (!run.trouble || at != askedNode || recorder.seconds() > spellFrom + SPELL_S) {
                            return new double[2];
                        }
                        // A reading of one key is carried out at once and answered late; a listing
                        // is carried out late.
                        double[] slow = new double[2];
                        if (path.startsWith("/kv/job/")) {
                            slow[1] = SLOW_AFTER_S;
                        } else if (path.equals("/kv")) {
                            slow[0] = SLOW_BEFORE_S;
                        }
                        if (slow[0] + slow[1] > 0) {
                            recorder.log(
                                    "state service: %s %s %s of %s takes %.2f s (%.2f s before it is carried out)",
                                    method, path, query, members.get(at), slow[0] + slow[1], slow[0]);
                        }
                        return slow;
                    };
        CountDownLatch firstAnswers = new CountDownLatch(jobs.size());
        for (String job : jobs) {
            inBackground(
                    () -> {
                        ask(run, user, members.get(askedNode), askedAddress, job);
                        firstAnswers.countDown();
                    });
        }
        // The jobs end and the cancellation is sent once the questions have reached the state service.
        readings.await(1, TimeUnit.SECONDS);
        StandIn.sleep(0.01);
        for (StandIn.Worker worker : workers) {
            for (String job : jobs.subList(1, jobs.size())) {
                worker.finish(job + "/0");
            }
        }
        Map<String, String> told = new LinkedHashMap<>();
        StandIn.Answer cancelled =
                StandIn.send(user, otherAddress, "POST", "/submissions/" + CANCELLED + "/cancel", null, 5);
        recorder.log("user: cancel %s at %s answered %d %s", CANCELLED, members.get(0), cancelled.status(), cancelled.body());
        if (cancelled.status() == 200) {
            told.put(CANCELLED, (String) cancelled.body().get("phase"));
        }
        firstAnswers.await(5, TimeUnit.SECONDS);
        double until = recorder.seconds() + 10;
        while (told.size() < jobs.size() && recorder.seconds() < until) {
            for (String job : jobs) {
                if (!told.containsKey(job)
                        && "done".equals(ask(run, user, members.get(0), otherAddress, job))) {
                    told.put(job, "done");
                }
            }
            StandIn.sleep(0.2);
        }
        if (told.size() < jobs.size()) {
            throw new CaseRun.CannotRun("only these jobs were called done or cancelled: " + told);
        }
        // 3 s after the end nothing may be late any more; the users ask every 5 s.
        StandIn.sleep(3);
        int wrong = 0;
        for (int round = 0; round < 6; round++) {
            for (String job : jobs) {
                String phase = ask(run, user, members.get(asked), askedAddress, job);
                if (phase != null && !phase.equals(told.get(job))) {
                    recorder.log("WENT BACK: %s was called %s, now %s calls it %s", job, told.get(job), members.get(asked), phase);
                    if (round == 0 || round == 5) {
                        System.out.printf("went_back: %s was called %s, %s calls it %s (question %d)%n", job, told.get(job), members.get(asked), phase, round + 1);
                    }
                    wrong++;
                }
            }
            StandIn.sleep(round < 5 ? 5 : 0);
        }
        for (String job : jobs) {
            ask(run, user, members.get(0), otherAddress, job);
        }
        if (!run.controllers.allAlive()) {
            throw new CaseRun.CannotRun("a controller ended");
        }
        return wrong == 0 ? CaseRun.HELD : CaseRun.BROKEN;
    }

    private static void awaitAllRunning(
            List<StandIn.Worker> workers, List<String> jobs, StandIn.Recorder recorder)
            throws CaseRun.CannotRun {
        double until = recorder.seconds() + 20;
        while (recorder.seconds() < until) {
            if (jobs.stream()
                    .allMatch(job -> workers.stream().anyMatch(worker -> worker.has(job + "/0", "running")))) {
                return;
            }
            StandIn.sleep(0.1);
        }
        throw new CaseRun.CannotRun("not all tasks run");
    }

    private static void inBackground(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    /** Asks about a job as the protocol page says; the phase, or null without an answer 200. */
    private static String ask(CaseRun run, HttpClient user, String member, String address, String job) {
        double sentAt = run.recorder.seconds();
        try {
            StandIn.Answer answer = StandIn.send(user, address, "GET", "/submissions/" + job, null, 2);
            run.recorder.log(
                    "user: GET /submissions/%s at %s, sent at %.3f, answered %d %s",
                    job, member, sentAt, answer.status(), answer.body());
            return answer.status() == 200 ? (String) answer.body().get("phase") : null;
        } catch (Exception noAnswer) {
            run.recorder.log("user: GET /submissions/%s at %s, sent at %.3f: %s", job, member, sentAt, noAnswer);
            return null;
        }
    }
}
