import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The cases of the review: `java Cases CASE RECORD`. Exit 1: rule broken, 0: held, 2: not run. */
final class Cases {
    private Cases() {}

    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final List<String> ZONES = List.of("zarqa-hall", "irbid-depot");

    static Map<String, Object> depotBox(List<String> fields) {
        return Bed.map("label", "depot-box", "cores", 24.0, "gpus", 4.0, "memGb", 96.0, "cacheGb", 80.0,
                "fetchGbPerS", 0.12, "hourly", 9.16, "spotPrice", 4.08, "readyS", 45.0, "fields", fields);
    }

    @SafeVarargs
    private static Bed bed(Path record, List<Map<String, Object>> breeds, Map<String, Object>... objectives)
            throws Exception {
        return new Bed(Path.of("").toAbsolutePath(), record, ZONES, 3, breeds,
                List.of(Bed.map("name", "routing-desk", "cpus", 0.0, "cpus_max", 0.0, "gpus", 0.0, "gpus_max", 0.0)),
                List.of(objectives));
    }

    public static void main(String[] args) {
        int code = 2;
        Http.daemon(
                () -> {
                    Bed.sleep(118_000);
                    System.out.println("not finished after 118 s");
                    System.exit(2);
                });
        try {
            Path record = Path.of(args[1]);
            code =
                    switch (args[0]) {
                        case "spread-rental" -> spreadRental(record);
                        case "other-zone" -> otherZone(record);
                        case "guarantee" -> guarantee(record);
                        case "phase" -> phase(record);
                        case "pause-and-reset" -> pauseAndReset(record);
                        default -> 2;
                    };
        } catch (Throwable failure) {
            failure.printStackTrace();
        }
        System.out.println("exit " + code);
        System.exit(code);
    }

    private static Map<String, Object> sweep(Bed bed) {
        return bed.submission("array", 1, "herd", "street-sweep", "urgency", "normal", "cores", 5.0, "memGb", 18.0,
                "runS", 1.0, "expectedS", 1.0);
    }

    /** The machine of one replica of a spread service dies; the replica must get another. */
    private static int spreadRental(Path record) throws Exception {
        Map<String, Object> breed = depotBox(ZONES);
        breed.put("readyS", 10.0);
        try (Bed bed = bed(record, List.of(breed))) {
            bed.cloud.addRunning("depot-box", ZONES.get(0));
            for (int i = 0; i < 14; i++) {
                bed.cloud.addRunning("depot-box", ZONES.get(1));
            }
            bed.cloud.capacity("depot-box", ZONES.get(0), 40);
            bed.cloud.capacity("depot-box", ZONES.get(1), 40);
            for (Bed.Node node : bed.nodes) {
                node.start();
            }
            if (!bed.awaitReady(15)) {
                return 2;
            }
            // All machines report to the leader before there is work, so that none is rented for it.
            Bed.sleep(6000);
            Map<String, Object> filler =
                    bed.submission("standing", 13, "field", ZONES.get(1), "cores", 21.0, "gpus", 4.0, "memGb", 77.0);
            if (bed.submit(bed.nodes.get(0), filler) != 201 || !await(bed, (String) filler.get("ref"), 13, 12)) {
                return 2;
            }
            Map<String, Object> service = bed.submission("standing", 2, "spread", true);
            String ref = (String) service.get("ref");
            if (bed.submit(bed.nodes.get(0), service) != 201 || !await(bed, ref, 2, 10)) {
                return 2;
            }
            Worker host = bed.hostOf(ref + "/0");
            if (!host.field.equals(ZONES.get(1))) {
                host = bed.hostOf(ref + "/1");
            }
            bed.cloud.rentals.clear();
            double from = bed.now();
            if (TROUBLE) {
                bed.cloud.die(host.name);
            }
            boolean served = true;
            if (TROUBLE) {
                served = await(bed, ref, 2, 90.5);
            } else {
                while (served && bed.now() < from + 60) {
                    Bed.sleep(100);
                    served = bed.running(ref) == 2;
                }
            }
            bed.call(bed.nodes.get(1), "GET", "/submissions/" + ref, null, 2000);
            if (!served) {
                bed.breach(
                        String.format(
                                "%.1f s after its machine died, a replica of %s has no machine; rented since: %s; the cloud would have given 40 in %s",
                                bed.now() - from, ref, bed.cloud.rentals, ZONES.get(1)));
            }
            return bed.broken.isEmpty() ? 0 : 1;
        }
    }

    /** An array bound to one zone loses a machine; a job in the other zone must still be completed. */
    private static int otherZone(Path record) throws Exception {
        Map<String, Object> objective = Bed.map("kind", "wait", "class", "ride-booking", "within_s", 12.0);
        try (Bed bed = bed(record, List.of(depotBox(ZONES)), objective)) {
            bed.cloud.addRunning("depot-box", ZONES.get(0));
            Worker dying = bed.cloud.addRunning("depot-box", ZONES.get(0));
            bed.cloud.addRunning("depot-box", ZONES.get(1));
            for (Bed.Node node : bed.nodes) {
                node.start();
            }
            if (!bed.awaitReady(15)) {
                return 2;
            }
            // All machines report to the leader before there is work.
            Bed.sleep(6000);
            Map<String, Object> sweep = sweep(bed);
            sweep.put("field", ZONES.get(1));
            sweep.put("runS", 40.0);
            sweep.put("expectedS", 40.0);
            String ref = (String) sweep.get("ref");
            if (bed.submit(bed.nodes.get(1), sweep) != 201 || !await(bed, ref, 1, 12)) {
                return 2;
            }
            Map<String, Object> bound =
                    bed.submission("array", 2, "herd", "ride-booking", "urgency", "urgent", "cores", 24.0, "gpus", 4.0,
                            "memGb", 90.0, "together", true, "runS", 600.0, "expectedS", 600.0);
            String boundRef = (String) bound.get("ref");
            if (bed.submit(bed.nodes.get(0), bound) != 201 || !await(bed, boundRef, 2, 12)) {
                return 2;
            }
            if (TROUBLE) {
                bed.cloud.die(dying.name);
            }
            double from = bed.now();
            for (double end = from + 95; bed.completed(sweep) == 0 && bed.now() < end; ) {
                Bed.sleep(100);
            }
            bed.call(bed.nodes.get(1), "GET", "/submissions/" + ref, null, 2000);
            if (bed.completed(sweep) == 0) {
                bed.breach(
                        String.format(
                                "%s, one task of 40 s, is not complete after %.1f s more: it was started %d times, and stopped each time for %s, which may not run in that zone",
                                ref, bed.now() - from, bed.starts(ref), boundRef));
            }
            return bed.broken.isEmpty() ? 0 : 1;
        }
    }

    /** A team borrows all that is free for services; another team's job within its guarantee must run. */
    private static int guarantee(Path record) throws Exception {
        List<Map<String, Object>> teams =
                List.of(
                        Bed.map("name", "crew-office", "cpus", 0.0, "cpus_max", 0.0, "gpus", 4.0, "gpus_max", 8.0),
                        Bed.map("name", "booking-floor", "cpus", 0.0, "cpus_max", 0.0, "gpus", 4.0, "gpus_max", 8.0));
        Map<String, Object> objective = Bed.map("kind", "guarantee", "within_s", 15.0, "share", 0.92);
        try (Bed bed = new Bed(Path.of("").toAbsolutePath(), record, ZONES, 3, List.of(depotBox(ZONES)), teams,
                List.of(objective))) {
            for (String zone : ZONES) {
                bed.cloud.addRunning("depot-box", zone);
            }
            for (Bed.Node node : bed.nodes) {
                node.start();
            }
            if (!bed.awaitReady(15)) {
                return 2;
            }
            for (int i = 0; i < (TROUBLE ? 8 : 4); i++) {
                Map<String, Object> service =
                        bed.submission("standing", 1, "herd", "ride-booking", "crew", "crew-office", "spread", true);
                if (bed.submit(bed.nodes.get(i % 3), service) != 201
                        || !await(bed, (String) service.get("ref"), 1, 12)) {
                    return 2;
                }
            }
            Map<String, Object> job = sweep(bed);
            job.put("herd", "trip-score");
            job.put("crew", "booking-floor");
            job.put("chores", 2);
            job.put("runS", 10.0);
            job.put("expectedS", 10.0);
            if (bed.submit(bed.nodes.get(0), job) != 201) {
                return 2;
            }
            double from = bed.now();
            while (bed.completed(job) < 2 && bed.now() < from + 85) {
                Bed.sleep(100);
            }
            bed.call(bed.nodes.get(1), "GET", "/submissions/" + job.get("ref"), null, 2000);
            if (bed.starts((String) job.get("ref")) == 0) {
                bed.breach(
                        String.format(
                                "%s of booking-floor (2 of its 4 guaranteed gpus) has not started after %.1f s; crew-office runs on 8 gpus, 4 beyond its guarantee, and none was stopped",
                                job.get("ref"), bed.now() - from));
            }
            return bed.broken.isEmpty() ? 0 : 1;
        }
    }

    /** The leader stands still for 3 s, in which its connections to the state service are reset. */
    private static int pauseAndReset(Path record) throws Exception {
        try (Bed bed = bed(record, List.of(depotBox(ZONES)))) {
            for (String zone : ZONES) {
                bed.cloud.addRunning("depot-box", zone);
            }
            for (Bed.Node node : bed.nodes) {
                node.start();
            }
            if (!bed.awaitReady(15)) {
                return 2;
            }
            Bed.sleep(5000);
            Map<String, Object> before = sweep(bed);
            if (bed.submit(bed.nodes.get(0), before) != 201 || !await(bed, (String) before.get("ref"), 1, 8)) {
                return 2;
            }
            Bed.sleep(1500);
            Bed.Node leader = bed.leader();
            if (leader == null) {
                return 2;
            }
            if (TROUBLE) {
                leader.signal("STOP");
                Bed.sleep(2900);
                bed.note("reset " + leader.state.reset() + " connections of " + leader.member + " to the state service");
                Bed.sleep(100);
                leader.signal("CONT");
            }
            Bed.sleep(3000);
            Map<String, Object> after = sweep(bed);
            Bed.Node other = bed.nodes.get((bed.nodes.indexOf(leader) + 1) % 3);
            if (bed.submit(other, after) != 201) {
                return 2;
            }
            double from = bed.now();
            while (bed.completed(after) == 0 && bed.now() < from + 90.5) {
                Bed.sleep(100);
            }
            bed.call(other, "GET", "/submissions/" + after.get("ref"), null, 2000);
            Bed.Node now = bed.leader();
            if (now != null) {
                bed.note(
                        String.format(
                                "leader: %s; its last watch of the jobs was opened %.1f s ago, its last renewal carried out %.1f s ago",
                                now.member,
                                (System.nanoTime() - bed.state.watchedAt.getOrDefault(now.member, 0L)) / 1e9,
                                (System.nanoTime() - bed.state.renewedAt.getOrDefault(now.member, 0L)) / 1e9));
            }
            if (bed.starts((String) after.get("ref")) == 0) {
                bed.breach(
                        String.format(
                                "%s has waited %.1f s without a start; two machines are up and empty, the leader is %s",
                                after.get("ref"), bed.now() - from, bed.leader() == null ? null : bed.leader().member));
            }
            return bed.broken.isEmpty() ? 0 : 1;
        }
    }

    /** A user follows a running service; the controller that answered crashes. */
    private static int phase(Path record) throws Exception {
        try (Bed bed = bed(record, List.of(depotBox(ZONES)))) {
            for (int i = 0; i < 4; i++) {
                bed.cloud.addRunning("depot-box", ZONES.get(i % 2));
            }
            for (Bed.Node node : bed.nodes) {
                node.start();
            }
            if (!bed.awaitReady(15)) {
                return 2;
            }
            Bed.Node served = bed.leader();
            Map<String, Object> service = bed.submission("standing", 2);
            String ref = (String) service.get("ref");
            if (bed.submit(served, service) != 201 || !await(bed, ref, 2, 10)) {
                return 2;
            }
            Bed.sleep(5000);
            if (bed.call(served, "GET", "/submissions/" + ref, null, 2000) != 200
                    || !"running".equals(bed.lastReply.map().get("phase"))) {
                return 2;
            }
            if (TROUBLE) {
                served.kill();
                Bed.sleep(6000);
                served.start();
                Bed.sleep(15_000);
            }
            int wrong = 0;
            for (int poll = 0; poll < 6; poll++) {
                Bed.sleep(5000);
                for (Bed.Node node : TROUBLE ? bed.nodes : List.of(served)) {
                    if (bed.call(node, "GET", "/submissions/" + ref, null, 2000) == 200
                            && bed.running(ref) == 2
                            && !"running".equals(bed.lastReply.map().get("phase"))) {
                        wrong++;
                    }
                }
            }
            if (wrong > 0) {
                bed.breach(wrong + " answers say that no task of " + ref + " runs, after both have run for over 20 s");
            }
            return bed.broken.isEmpty() ? 0 : 1;
        }
    }

    private static boolean await(Bed bed, String ref, int tasks, double seconds) {
        double end = bed.now() + seconds;
        while (bed.running(ref) < tasks && bed.now() < end) {
            Bed.sleep(50);
        }
        return bed.running(ref) >= tasks;
    }
}
