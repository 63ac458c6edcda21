import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of the protocol page. */
final class Cloud {
    private final class Stall {
        final String name;
        final Map<String, Object> breed;
        final String field;
        final boolean loaners;
        final long rentedAt;
        long upAt = Long.MAX_VALUE;
        long diedAt = Long.MAX_VALUE;
        long goneAt = Long.MAX_VALUE;
        Worker worker;

        Stall(Map<String, Object> breed, String field, boolean loaners) {
            this.name = String.format("vm-%06d", ++count);
            this.breed = breed;
            this.field = field;
            this.loaners = loaners;
            this.rentedAt = System.nanoTime();
        }
    }

    private final Bed bed;
    private final List<Map<String, Object>> breeds;
    /** How many more machines may be rented, by "breed field kind". */
    private final Map<String, Integer> capacity = new HashMap<>();
    private final TreeMap<String, Stall> stalls = new TreeMap<>();
    private final Map<String, Http.Reply> answered = new HashMap<>();
    private int count;
    final List<String> rentals = new ArrayList<>();

    Cloud(Bed bed, List<Map<String, Object>> breeds) {
        this.bed = bed;
        this.breeds = breeds;
    }

    void capacity(String breed, String field, int machines) {
        capacity.put(breed + " " + field, machines);
    }

    Http.Server listen() throws IOException {
        return new Http.Server(this::answer);
    }

    private Map<String, Object> breed(String label) {
        return breeds.stream().filter(each -> each.get("label").equals(label)).findFirst().orElseThrow();
    }

    /** Adds a machine that is up. */
    synchronized Worker addRunning(String breed, String field) throws IOException {
        Stall stall = new Stall(breed(breed), field, false);
        stalls.put(stall.name, stall);
        boot(stall);
        return stall.worker;
    }

    private synchronized void boot(Stall stall) throws IOException {
        if (stall.goneAt == Long.MAX_VALUE) {
            stall.upAt = System.nanoTime();
            stall.worker = new Worker(bed, stall.name, stall.breed, stall.field, stall.loaners);
            bed.note("machine " + stall.name + " up in " + stall.field);
        }
    }

    /** The machine stops with all that is on it; the list shows it as running for 30 s more. */
    synchronized void die(String name) {
        Stall stall = stalls.get(name);
        stall.diedAt = System.nanoTime();
        stall.worker.die("machine died");
        bed.note("machine " + name + " died");
    }

    synchronized List<Worker> workers() {
        List<Worker> all = new ArrayList<>();
        for (Stall stall : stalls.values()) {
            if (stall.worker != null && !stall.worker.isDead()) {
                all.add(stall.worker);
            }
        }
        return all;
    }

    private Http.Reply answer(Http.Request request) throws InterruptedException {
        Bed.sleep(100);
        if (request.path().equals("/machine_types")) {
            return Http.Reply.of(200, Bed.map("breeds", breeds));
        } else if (request.path().equals("/rentals/release")) {
            return release(request);
        } else if (request.path().equals("/rentals")) {
            return request.method().equals("POST") ? rent(request) : list(request);
        }
        return Http.Reply.of(400, Map.of());
    }

    private synchronized Http.Reply rent(Http.Request request) {
        Map<String, Object> body = request.body() == null ? Map.of() : MsgPack.map(request.body());
        bed.note("rental " + MsgPack.json(body));
        String hire = (String) body.get("hire");
        if (answered.containsKey(hire)) {
            return answered.get(hire);
        }
        String pool = body.get("breed") + " " + body.get("field");
        int free = (Boolean) body.get("loaners") ? 0 : capacity.getOrDefault(pool, 0);
        int rented = (int) Math.min(free, (Long) body.get("count"));
        if (rented == 0) {
            return Http.Reply.of(503, Map.of("error", "no capacity"));
        }
        capacity.put(pool, free - rented);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < rented; i++) {
            Stall stall = new Stall(breed((String) body.get("breed")), (String) body.get("field"), false);
            stalls.put(stall.name, stall);
            names.add(stall.name);
            long bootMs = (long) (1000 * ((Number) stall.breed.get("readyS")).doubleValue());
            Http.daemon(
                    () -> {
                        Bed.sleep(bootMs);
                        try {
                            boot(stall);
                        } catch (IOException failure) {
                            bed.note("boot failed " + failure);
                        }
                    });
        }
        rentals.add(pool);
        Http.Reply reply = Http.Reply.of(200, Bed.map("stalls", names));
        answered.put(hire, reply);
        return reply;
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Reply release(Http.Request request) {
        Map<String, Object> body = MsgPack.map(request.body());
        bed.note("release " + MsgPack.json(body));
        for (Object name : (List<Object>) body.get("stalls")) {
            Stall stall = stalls.get((String) name);
            if (stall != null && stall.goneAt == Long.MAX_VALUE) {
                stall.goneAt = System.nanoTime();
                capacity.merge(stall.breed.get("label") + " " + stall.field, 1, Integer::sum);
                if (stall.worker != null) {
                    stall.worker.die("machine returned");
                }
            }
        }
        return Http.Reply.of(200, Map.of());
    }

    private synchronized Http.Reply list(Http.Request request) {
        long at = System.nanoTime() - (long) (bed.listLagS * 1e9);
        String after = request.query().getOrDefault("after", "");
        int most = Integer.parseInt(request.query().getOrDefault("most", "500"));
        List<Object> items = new ArrayList<>();
        boolean truncated = false;
        for (Stall stall : stalls.values()) {
            if (stall.name.compareTo(after) <= 0 || stall.rentedAt > at || stall.goneAt <= at) {
                continue;
            }
            if (items.size() >= most) {
                truncated = true;
                break;
            }
            boolean failed = stall.diedAt != Long.MAX_VALUE && at - stall.diedAt > 30_000_000_000L;
            Map<String, Object> item = new LinkedHashMap<>();
            item.put("ref", stall.name);
            item.put("endpoint", stall.worker == null ? "127.0.0.1:1" : stall.worker.server.address());
            item.put("breed", stall.breed.get("label"));
            item.put("field", stall.field);
            item.put("loaners", stall.loaners);
            item.put("phase", failed ? "failed" : stall.upAt <= at ? "running" : "booting");
            item.put("heldS", (at - stall.rentedAt) / 1e9);
            items.add(item);
        }
        return Http.Reply.of(200, Bed.map("stalls", items, "truncated", truncated));
    }
}
