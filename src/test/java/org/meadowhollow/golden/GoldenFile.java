package org.meadowhollow.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.meadowhollow.model.Revision;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.storage.KeyValueStore;

/**
 * A stored record or a message between controllers exactly as an earlier version of this program
 * encoded it. Kept as a hex dump, so that a review shows what a change does: a first line with the
 * key or the path, then 16 bytes a line with their printable characters beside them. Files are
 * written by a {@code main} method and never by a test.
 *
 * @param name of the file, without its suffix
 * @param key under which the record is stored, or the path of the message
 */
// The bytes are read by the tests; no two files are compared as records.
@SuppressWarnings("ArrayRecordComponent")
public record GoldenFile(String name, String key, byte[] bytes) {
    private static final Path DIRECTORY = Path.of("src", "test", "resources", "golden");
    private static final String SUFFIX = ".hex";
    private static final String HEADER = "# ";
    private static final String BESIDE = "  |";
    private static final int BYTES_A_LINE = 16;

    /** Reads a file from the class path. */
    public static GoldenFile read(String name) {
        try (InputStream in = GoldenFile.class.getResourceAsStream("/golden/" + name + SUFFIX)) {
            List<String> lines =
                    new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (String line : lines.subList(1, lines.size())) {
                bytes.writeBytes(
                        HexFormat.ofDelimiter(" ")
                                .parseHex(line.substring(0, line.indexOf(BESIDE)).strip()));
            }
            return new GoldenFile(
                    name, lines.get(0).substring(HEADER.length()), bytes.toByteArray());
        } catch (IOException broken) {
            throw new UncheckedIOException(broken);
        }
    }

    /** Writes a record whose map is in a certain order, or one that was brought into it. */
    public static void write(String name, String key, Map<String, Object> value)
            throws IOException {
        write(name, key, MessagePackCodec.encode(value));
    }

    /** Writes a file of the source tree. */
    public static void write(String name, String key, byte[] bytes) throws IOException {
        StringBuilder text = new StringBuilder(HEADER).append(key).append('\n');
        for (int at = 0; at < bytes.length; at += BYTES_A_LINE) {
            int end = Math.min(bytes.length, at + BYTES_A_LINE);
            text.append("%-47s".formatted(HexFormat.ofDelimiter(" ").formatHex(bytes, at, end)))
                    .append(BESIDE);
            for (int each = at; each < end; each++) {
                text.append(bytes[each] > ' ' && bytes[each] <= '~' ? (char) bytes[each] : '.');
            }
            text.append("|\n");
        }
        Path file = DIRECTORY.resolve(name + SUFFIX);
        Files.createDirectories(file.getParent());
        Files.writeString(file, text);
    }

    /** The record that the bytes are. */
    public Map<String, Object> value() {
        try {
            return MessagePackCodec.decode(bytes);
        } catch (MalformedMessageException broken) {
            throw new AssertionError(name, broken);
        }
    }

    /** The record as the state service shows it. */
    public KeyValueStore.Entry entry(long version) {
        return new KeyValueStore.Entry(key, value(), new Revision(version));
    }

    /** Fails unless a record is encoded to the same bytes, its fields in the same order. */
    public void assertSameBytes(Map<String, Object> record) {
        assertSameBytes(MessagePackCodec.encode(record));
    }

    /** Fails unless these are the same bytes. */
    public void assertSameBytes(byte[] encoded) {
        assertEquals(HexFormat.of().formatHex(bytes), HexFormat.of().formatHex(encoded), name);
    }

    /**
     * Fails unless a record has the same fields with the same encoding of each, in any order: for
     * records with a map whose order the sources leave to the process ({@code Map.of} and {@code
     * Map.copyOf} differ from start to start). Such files hold their fields in the order of their
     * names.
     */
    public void assertSameFields(Map<String, Object> record) {
        assertSameBytes(MessagePackCodec.encode(sorted(record)));
    }

    /**
     * The same record with the fields of each map, also of those within, in the order of their
     * names.
     */
    public static Map<String, Object> sorted(Map<?, ?> record) {
        Map<String, Object> sorted = new TreeMap<>();
        record.forEach((key, value) -> sorted.put((String) key, sortedValue(value)));
        return sorted;
    }

    private static Object sortedValue(Object value) {
        return value instanceof Map<?, ?> map
                ? sorted(map)
                : value instanceof List<?> list
                        ? list.stream()
                                .map(GoldenFile::sortedValue)
                                .collect(ArrayList::new, ArrayList::add, ArrayList::addAll)
                        : value;
    }
}
