package org.meadowhollow.bookkeeping;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Digests of records by part: how many there are, and a sum over the hashes of their keys with
 * their versions. A part is named by what its keys begin with, up to their first digit, so that it
 * can be read again by itself.
 */
public final class Digests {
    public static final Digests NONE = new Digests();

    /** One part's digest. */
    public record Part(int records, long sum) {
        static final Part EMPTY = new Part(0, 0);
    }

    private final Map<String, Part> parts = new TreeMap<>();
    private final Set<String> unsettled = new HashSet<>();

    public static Digests of(RecordImage image) {
        Digests digests = new Digests();
        for (StateStore.Entry entry : image.entries()) {
            digests.add(entry.key(), entry.version());
        }
        return digests;
    }

    /** Of parts as another node gave them. */
    public static Digests of(Map<String, Part> parts, Set<String> unsettled) {
        Digests digests = new Digests();
        digests.parts.putAll(parts);
        digests.unsettled.addAll(unsettled);
        return digests;
    }

    /**
     * @param version null while a write is under way, so that nothing can be said of the part
     */
    public void add(String key, Version version) {
        String part = partOf(key);
        if (version == null) {
            unsettled.add(part);
            return;
        }
        Hasher64 hasher = Hashing.xxh3_64();
        long hash = hasher.hashStream().putString(key).putLong(version.value()).getAsLong();
        Part before = parts.getOrDefault(part, Part.EMPTY);
        parts.put(part, new Part(before.records() + 1, before.sum() + hash));
    }

    /** Adds the digests of other parts. */
    public void add(Digests other) {
        parts.putAll(other.parts);
        unsettled.addAll(other.unsettled);
    }

    public Map<String, Part> parts() {
        return parts;
    }

    public Set<String> unsettled() {
        return unsettled;
    }

    /** The parts that are not the same here and there, as far as both can tell. */
    public List<String> differing(Digests other) {
        Set<String> all = new HashSet<>(parts.keySet());
        all.addAll(other.parts.keySet());
        List<String> differing = new ArrayList<>();
        for (String part : all) {
            if (!unsettled.contains(part)
                    && !other.unsettled.contains(part)
                    && !parts.getOrDefault(part, Part.EMPTY)
                            .equals(other.parts.getOrDefault(part, Part.EMPTY))) {
                differing.add(part);
            }
        }
        differing.sort(null);
        return differing;
    }

    private static String partOf(String key) {
        int at = key.indexOf('/') + 1;
        while (at < key.length() && !Character.isDigit(key.charAt(at))) {
            at++;
        }
        return at == key.length()
                ? key.substring(0, key.indexOf('/') + 1)
                : key.substring(0, at + 1);
    }
}
