import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of the protocol page, on one address for each node. */
final class StateService {
    private record Entry(Object value, long stamp, long tether) {}

    private static final class Grant {
        final long ttlMs;
        long endsAt;

        Grant(long ttlMs) {
            this.ttlMs = ttlMs;
            this.endsAt = System.nanoTime() + ttlMs * 1_000_000;
        }
    }

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final TreeMap<Long, Grant> grants = new TreeMap<>();
    private final List<Map<String, Object>> log = new ArrayList<>();
    private long droppedUpTo;
    private long revision;
    private long lastGrant;
    private final double rps;
    private final double writeRps;
    private double requestTokens;
    private double writeTokens;
    private long refilledAt = System.nanoTime();
    private final int valueKb;
    private final int txnOps;

    StateService(double rps, double writeRps, int valueKb, int txnOps) {
        this.rps = requestTokens = rps;
        this.writeRps = writeTokens = writeRps;
        this.valueKb = valueKb;
        this.txnOps = txnOps;
        Http.daemon(
                () -> {
                    while (true) {
                        Bed.sleep(20);
                        expire();
                    }
                });
    }

    /** When each node's last renewal was carried out. */
    final Map<String, Long> renewedAt = new java.util.concurrent.ConcurrentHashMap<>();

    /** When each node last opened a watch of the jobs. */
    final Map<String, Long> watchedAt = new java.util.concurrent.ConcurrentHashMap<>();

    Http.Server listen(String member) throws IOException {
        return new Http.Server(
                request -> {
                    boolean isWait = request.path().equals("/changes") && "job/".equals(request.query().get("prefix"))
                            && !"0".equals(request.query().getOrDefault("blockMs", "0"));
                    if (isWait) {
                        watchedAt.put(member, System.nanoTime());
                    }
                    Http.Reply reply = answer(request);
                    if (request.path().endsWith("/renew")) {
                        renewedAt.put(member, System.nanoTime());
                    }
                    return reply;
                });
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        for (Long id : List.copyOf(grants.keySet())) {
            if (now > grants.get(id).endsAt) {
                end(id);
            }
        }
    }

    private void end(long id) {
        grants.remove(id);
        List<String> keys = new ArrayList<>();
        entries.forEach(
                (key, entry) -> {
                    if (entry.tether == id) {
                        keys.add(key);
                    }
                });
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::remove);
            notifyAll();
        }
    }

    private void remove(String key) {
        if (entries.remove(key) != null) {
            note(Bed.map("remove", key, "stamp", revision));
        }
    }

    private void note(Map<String, Object> change) {
        log.add(change);
        if (log.size() > 10_000) {
            droppedUpTo = (Long) log.remove(0).get("stamp");
        }
    }

    /** The value of a key as the state service has it now. */
    synchronized Object valueOf(String key) {
        return entries.containsKey(key) ? entries.get(key).value : null;
    }

    private boolean admits(int writes) {
        long now = System.nanoTime();
        double seconds = (now - refilledAt) / 1e9;
        refilledAt = now;
        requestTokens = Math.min(rps, requestTokens + seconds * rps);
        writeTokens = Math.min(writeRps, writeTokens + seconds * writeRps);
        if (requestTokens < 1 || writeTokens < writes) {
            return false;
        }
        requestTokens -= 1;
        writeTokens -= writes;
        return true;
    }

    private Http.Reply answer(Http.Request request) throws InterruptedException {
        Bed.sleep(2);
        if (request.path().equals("/changes")) {
            return changes(request);
        }
        return answerNow(request);
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Reply answerNow(Http.Request request) {
        expire();
        Map<String, Object> body = MsgPack.map(request.body());
        List<Map<String, Object>> writes =
                (List<Map<String, Object>>) body.getOrDefault("writes", List.of());
        if (!admits(writes.size())) {
            return Http.Reply.of(429, Map.of());
        }
        String path = request.path();
        if (path.equals("/kv")) {
            return list(request);
        } else if (path.startsWith("/kv/")) {
            String key = path.substring(4);
            Entry entry = entries.get(key);
            return entry == null
                    ? Http.Reply.of(404, Bed.map("ledgerRev", revision))
                    : Http.Reply.of(200, item(key, entry));
        } else if (path.equals("/multi")) {
            return multi((List<Map<String, Object>>) body.getOrDefault("guards", List.of()), writes);
        } else if (path.equals("/grants")) {
            grants.put(++lastGrant, new Grant((Long) body.get("ttlMs")));
            return Http.Reply.of(200, Bed.map("tether", lastGrant));
        } else if (path.startsWith("/grants/")) {
            long id = Long.parseLong(path.split("/")[2]);
            Grant grant = grants.get(id);
            if (grant == null) {
                return Http.Reply.of(404, Map.of());
            }
            if (request.method().equals("DELETE")) {
                end(id);
            } else {
                grant.endsAt = System.nanoTime() + grant.ttlMs * 1_000_000;
            }
            return Http.Reply.of(200, Bed.map("tether", id));
        }
        return Http.Reply.of(400, Map.of());
    }

    private static Map<String, Object> item(String key, Entry entry) {
        Map<String, Object> item = Bed.map("key", key, "v", entry.value, "stamp", entry.stamp);
        if (entry.tether > 0) {
            item.put("tether", entry.tether);
        }
        return item;
    }

    private Http.Reply list(Http.Request request) {
        String prefix = request.query().getOrDefault("prefix", "");
        String after = request.query().getOrDefault("after", "");
        int most = Math.min(1000, Integer.parseInt(request.query().getOrDefault("most", "1000")));
        List<Object> items = new ArrayList<>();
        boolean truncated = false;
        long bytes = 0;
        for (Map.Entry<String, Entry> each : entries.tailMap(prefix).entrySet()) {
            if (!each.getKey().startsWith(prefix)) {
                break;
            }
            if (each.getKey().compareTo(after) <= 0) {
                continue;
            }
            Map<String, Object> item = item(each.getKey(), each.getValue());
            bytes += MsgPack.json(item).length();
            if (items.size() >= most || bytes > 512 * 1024) {
                truncated = true;
                break;
            }
            items.add(item);
        }
        return Http.Reply.of(200, Bed.map("items", items, "truncated", truncated, "ledgerRev", revision));
    }

    private Http.Reply multi(List<Map<String, Object>> guards, List<Map<String, Object>> writes) {
        if (writes.size() > txnOps || guards.size() > 4 * txnOps) {
            return Http.Reply.of(400, Map.of());
        }
        for (Map<String, Object> write : writes) {
            if (write.get("tether") != null && !grants.containsKey((Long) write.get("tether"))) {
                return Http.Reply.of(400, Map.of("error", "no such lease"));
            }
            if (write.get("v") != null && MsgPack.json(write.get("v")).length() > valueKb * 1024) {
                return Http.Reply.of(400, Map.of("error", "value too large"));
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> guard : guards) {
            Entry entry = entries.get((String) guard.get("key"));
            if ((entry == null ? 0 : entry.stamp) != (Long) guard.get("stamp")) {
                failed.add(guard.get("key"));
            }
        }
        if (!failed.isEmpty()) {
            return Http.Reply.of(409, Bed.map("failed", failed, "ledgerRev", revision));
        }
        if (!writes.isEmpty()) {
            revision++;
            for (Map<String, Object> write : writes) {
                if (write.get("remove") != null) {
                    remove((String) write.get("remove"));
                } else {
                    String key = (String) write.get("set");
                    Long tether = (Long) write.get("tether");
                    entries.put(key, new Entry(write.get("v"), revision, tether == null ? 0 : tether));
                    note(Bed.map("set", key, "v", write.get("v"), "stamp", revision));
                }
            }
            notifyAll();
        }
        return Http.Reply.of(200, Bed.map("ledgerRev", revision));
    }

    private synchronized Http.Reply changes(Http.Request request) throws InterruptedException {
        if (!admits(0)) {
            return Http.Reply.of(429, Map.of());
        }
        String prefix = request.query().getOrDefault("prefix", "");
        long after = Long.parseUnsignedLong(request.query().get("after"));
        long endsAt = System.nanoTime() + Long.parseLong(request.query().getOrDefault("blockMs", "0")) * 1_000_000;
        while (true) {
            if (after < droppedUpTo) {
                return Http.Reply.of(410, Map.of());
            }
            List<Object> found = new ArrayList<>();
            for (Map<String, Object> change : log) {
                String key = (String) (change.containsKey("set") ? change.get("set") : change.get("remove"));
                if ((Long) change.get("stamp") > after && key.startsWith(prefix)) {
                    found.add(change);
                }
            }
            long waitMs = (endsAt - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || waitMs <= 0) {
                return Http.Reply.of(200, Bed.map("ledgerRev", revision, "log", found));
            }
            wait(waitMs);
        }
    }
}
