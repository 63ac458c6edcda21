import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The worker of one machine, as the protocol page describes it. */
final class Worker {
    /** A task on the machine. */
    static final class Chore {
        final String name;
        final long attempt;
        final Map<String, Object> spec;
        String phase = "pulling";
        String cause;
        long phaseSince = System.nanoTime();
        boolean onMachine;

        Chore(String name, long attempt, Map<String, Object> spec) {
            this.name = name;
            this.attempt = attempt;
            this.spec = spec;
        }
    }

    final Bed bed;
    final String name;
    final Map<String, Object> breed;
    final String field;
    final boolean loaners;
    final Http.Server server;
    private final Map<String, Chore> chores = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private long tenure = 1;
    private long tally;
    private long baton;
    private long leaseFrom = System.nanoTime();
    private long reportedAt;
    private boolean changed = true;
    private int node;
    private volatile boolean dead;

    Worker(Bed bed, String name, Map<String, Object> breed, String field, boolean loaners) throws IOException {
        this.bed = bed;
        this.name = name;
        this.breed = breed;
        this.field = field;
        this.loaners = loaners;
        this.server = new Http.Server(this::direct);
        this.node = Math.abs(name.hashCode()) % bed.nodes.size();
        Http.daemon(this::reportLoop);
        Http.daemon(this::run);
    }

    /** The machine stops with all that is on it. */
    synchronized void die(String why) {
        if (!dead) {
            dead = true;
            chores.values().forEach(chore -> leave(chore, why));
            chores.clear();
            server.close();
        }
    }

    boolean isDead() {
        return dead;
    }

    private void leave(Chore chore, String why) {
        if (chore.onMachine) {
            chore.onMachine = false;
            bed.left(chore.name, chore.attempt, this, why);
        }
    }

    private void end(Chore chore, String cause) {
        leave(chore, cause);
        chore.phase = "ended";
        chore.cause = cause;
        changed = true;
    }

    private static double number(Object value) {
        return ((Number) value).doubleValue();
    }

    // ---- tasks ----

    private void run() {
        while (!dead) {
            Bed.sleep(50);
            synchronized (this) {
                if (dead) {
                    return;
                }
                long now = System.nanoTime();
                if (now - leaseFrom > bed.leaseS * 1e9) {
                    bed.note("lease of " + name + " ran out, tenure " + tenure);
                    chores.values().forEach(chore -> leave(chore, "lease ran out"));
                    chores.clear();
                    tenure++;
                    leaseFrom = now;
                    changed = true;
                }
                List.copyOf(chores.values()).forEach(chore -> advance(chore, now));
            }
        }
    }

    private void advance(Chore chore, long now) {
        double seconds = (now - chore.phaseSince) / 1e9;
        String image = (String) chore.spec.get("bundle");
        if (chore.phase.equals("pulling")) {
            double pullS = number(chore.spec.get("pullGb")) / number(breed.get("fetchGbPerS"));
            if (images.contains(image) || seconds >= pullS) {
                images.add(image);
                chore.onMachine = true;
                bed.came(chore.name, chore.attempt, this, chore.spec);
                boolean gang = "ensemble".equals(chore.spec.get("shape"));
                chore.phase = gang ? "waiting" : "running";
                chore.phaseSince = now;
                changed = true;
            }
        } else if (chore.phase.equals("waiting")) {
            if (bed.gangComplete(chore.name, chore.attempt, chore.spec)) {
                chore.phase = "running";
                chore.phaseSince = now;
                changed = true;
            } else if (seconds > bed.gangWaitS) {
                end(chore, "incomplete");
            }
        } else if (chore.phase.equals("running")) {
            double runS = number(chore.spec.getOrDefault("runS", 0.0));
            if (!"standing".equals(chore.spec.get("shape")) && seconds > runS) {
                end(chore, "done");
                bed.completed(chore.name);
            }
        } else if (chore.phase.equals("flushing") && seconds > number(chore.spec.get("stashS"))) {
            end(chore, "stopped");
        }
    }

    @SuppressWarnings("unchecked")
    private void execute(List<Object> orders) {
        for (Object order : orders) {
            Map<String, Object> fields = (Map<String, Object>) order;
            String chore = (String) fields.get("chore");
            long attempt = (Long) fields.get("try");
            bed.note("order " + name + " " + MsgPack.json(fields));
            switch ((String) fields.get("verb")) {
                case "run" -> start(chore, attempt);
                case "halt" -> halt(chore, attempt, number(fields.get("leewayS")));
                case "reap" -> {
                    Chore known = chores.get(chore + "#" + attempt);
                    if (known != null && known.phase.equals("ended")) {
                        chores.remove(chore + "#" + attempt);
                        changed = true;
                    }
                }
                default -> throw new IllegalArgumentException("verb");
            }
        }
    }

    private void start(String chore, long attempt) {
        String key = chore + "#" + attempt;
        if (chores.containsKey(key)) {
            return;
        }
        Map<String, Object> spec = bed.specs.get(chore.substring(0, chore.indexOf('/')));
        Chore started = new Chore(chore, attempt, spec);
        chores.put(key, started);
        changed = true;
        if (spec == null) {
            end(started, "unknown");
            return;
        }
        double[] used = new double[3];
        for (Chore other : chores.values()) {
            if (other != started && !other.phase.equals("ended")) {
                if (other.name.equals(chore)) {
                    end(started, "in_use");
                    return;
                }
                used[0] += number(other.spec.get("cores"));
                used[1] += number(other.spec.get("gpus"));
                used[2] += number(other.spec.get("memGb"));
            }
        }
        if (used[0] + number(spec.get("cores")) > number(breed.get("cores")) + 1e-6
                || used[1] + number(spec.get("gpus")) > number(breed.get("gpus")) + 1e-6
                || used[2] + number(spec.get("memGb")) > number(breed.get("memGb")) + 1e-6) {
            end(started, "no_room");
        }
    }

    private void halt(String chore, long attempt, double leewayS) {
        Chore known = chores.get(chore + "#" + attempt);
        if (known == null || known.phase.equals("ended")) {
            return;
        }
        if (known.phase.equals("running")
                && number(known.spec.get("bookmarkS")) > 0
                && leewayS >= number(known.spec.get("stashS"))) {
            known.phase = "flushing";
            known.phaseSince = System.nanoTime();
            changed = true;
        } else if (!known.phase.equals("flushing") || leewayS == 0) {
            end(known, "stopped");
        }
    }

    // ---- reports and orders ----

    private synchronized Map<String, Object> report() {
        List<Object> list = new ArrayList<>();
        for (Chore chore : chores.values()) {
            Map<String, Object> item = Bed.map("chore", chore.name, "try", chore.attempt, "phase", chore.phase);
            if (chore.cause != null) {
                item.put("cause", chore.cause);
            }
            list.add(item);
        }
        return Bed.map(
                "stall", name, "endpoint", server.address(), "breed", breed.get("label"), "field", field,
                "loaners", loaners, "tenure", tenure, "tally", ++tally, "baton", baton, "warningS", null,
                "chores", list);
    }

    private void reportLoop() {
        while (!dead) {
            double interval = bed.reportS * (0.75 + 0.5 * Math.random());
            long last = reportedAt;
            while (!dead) {
                double since = (System.nanoTime() - last) / 1e9;
                if (last == 0 || since >= interval || (changed && since >= 0.5)) {
                    break;
                }
                Bed.sleep(20);
            }
            if (!dead) {
                reportOnce();
            }
        }
    }

    private void reportOnce() {
        Map<String, Object> report;
        long sentTenure;
        long sentAt;
        synchronized (this) {
            changed = false;
            report = report();
            sentTenure = tenure;
            sentAt = System.nanoTime();
            reportedAt = sentAt;
        }
        Bed.Node target = bed.nodes.get(node);
        try {
            Http.Reply reply = Http.send(target.workerAddress, "POST", "/hello", report, 4000);
            if (reply.status() == 200) {
                accept(reply.map(), sentTenure, sentAt);
                return;
            }
            if (reply.status() == 421 && reply.map().get("herder") != null) {
                int next = bed.indexOf((String) reply.map().get("herder"));
                if (next >= 0 && next != node) {
                    node = next;
                    changed = true;
                    Bed.sleep((long) (Math.random() * 500));
                    return;
                }
            }
        } catch (IOException noAnswer) {
            // Tries the next node.
        }
        node = (node + 1) % bed.nodes.size();
        changed = true;
        Bed.sleep(1000);
    }

    @SuppressWarnings("unchecked")
    private synchronized void accept(Map<String, Object> reply, long sentTenure, long sentAt) {
        Long token = (Long) reply.get("baton");
        if (dead || token == null || token < baton || sentTenure != tenure) {
            return;
        }
        if (token > baton) {
            baton = token;
            changed = true;
        }
        leaseFrom = sentAt;
        execute((List<Object>) reply.getOrDefault("orders", List.of()));
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Reply direct(Http.Request request) {
        if (dead) {
            return null;
        }
        if (request.path().equals("/inspect")) {
            return Http.Reply.of(200, report());
        }
        Map<String, Object> body = MsgPack.map(request.body());
        Long token = (Long) body.get("baton");
        Long session = (Long) body.get("tenure");
        if (token == null || session == null) {
            return Http.Reply.of(400, Map.of());
        }
        if (token < baton || session != tenure) {
            return Http.Reply.of(409, report());
        }
        if (token > baton) {
            baton = token;
            changed = true;
        }
        execute((List<Object>) body.getOrDefault("orders", List.of()));
        return Http.Reply.of(200, report());
    }
}
