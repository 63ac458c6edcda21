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
 * A stored record or a message between controllers, byte for byte as an earlier version of this
 * program encoded it. The file is a hex dump, so that a change is readable in a review: a first
 * line with the key or the path, then lines of 16 bytes followed by their printable characters.
 * Files are written by a {@code main} method and never by a test.
 *
 * @param name the name of the file, without its suffix
 * @param key the key of the stored record, or the path of the message
 * @param bytes the encoded record or message
 */
// Tests read the bytes; no two golden files are compared with equals.
@SuppressWarnings("ArrayRecordComponent")
public record GoldenFile(String name, String key, byte[] bytes) {
    private static final Path DIRECTORY = Path.of("src", "test", "resources", "golden");
    private static final String SUFFIX = ".hex";
    private static final String HEADER_PREFIX = "# ";
    private static final String TEXT_COLUMN_PREFIX = "  |";
    private static final int BYTES_PER_LINE = 16;

    /** Reads a file from the class path. */
    public static GoldenFile read(String name) {
        try (InputStream in = GoldenFile.class.getResourceAsStream("/golden/" + name + SUFFIX)) {
            List<String> lines =
                    new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (String line : lines.subList(1, lines.size())) {
                bytes.writeBytes(
                        HexFormat.ofDelimiter(" ")
                                .parseHex(
                                        line.substring(0, line.indexOf(TEXT_COLUMN_PREFIX))
                                                .strip()));
            }
            return new GoldenFile(
                    name, lines.get(0).substring(HEADER_PREFIX.length()), bytes.toByteArray());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Writes a record whose map has a defined order of fields, or was sorted with {@link #sorted}.
     */
    public static void write(String name, String key, Map<String, Object> value)
            throws IOException {
        write(name, key, MessagePackCodec.encode(value));
    }

    /** Writes a file into the source tree. */
    public static void write(String name, String key, byte[] bytes) throws IOException {
        StringBuilder text = new StringBuilder(HEADER_PREFIX).append(key).append('\n');
        for (int start = 0; start < bytes.length; start += BYTES_PER_LINE) {
            int end = Math.min(bytes.length, start + BYTES_PER_LINE);
            text.append("%-47s".formatted(HexFormat.ofDelimiter(" ").formatHex(bytes, start, end)))
                    .append(TEXT_COLUMN_PREFIX);
            for (int index = start; index < end; index++) {
                text.append(bytes[index] > ' ' && bytes[index] <= '~' ? (char) bytes[index] : '.');
            }
            text.append("|\n");
        }
        Path file = DIRECTORY.resolve(name + SUFFIX);
        Files.createDirectories(file.getParent());
        Files.writeString(file, text);
    }

    /** The record decoded from the bytes. */
    public Map<String, Object> value() {
        try {
            return MessagePackCodec.decode(bytes);
        } catch (MalformedMessageException exception) {
            throw new AssertionError(name, exception);
        }
    }

    /** The record as an entry of the key-value store. */
    public KeyValueStore.Entry entry(long revision) {
        return new KeyValueStore.Entry(key, value(), new Revision(revision));
    }

    /** Asserts that a record is encoded to the same bytes, with its fields in the same order. */
    public void assertSameBytes(Map<String, Object> record) {
        assertSameBytes(MessagePackCodec.encode(record));
    }

    /** Asserts that the bytes are the same. */
    public void assertSameBytes(byte[] encoded) {
        assertEquals(HexFormat.of().formatHex(bytes), HexFormat.of().formatHex(encoded), name);
    }

    /**
     * Asserts that a record has the same fields with the same encoding, in any order. For records
     * that contain a map created with {@code Map.of} or {@code Map.copyOf}, whose iteration order
     * differs from process to process. Their golden files hold the fields sorted by name.
     */
    public void assertSameFields(Map<String, Object> record) {
        assertSameBytes(MessagePackCodec.encode(sorted(record)));
    }

    /**
     * A copy of the record in which the fields of each map, including nested ones, are sorted by
     * name.
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
