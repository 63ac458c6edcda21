package org.meadowhollow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class LayersTest {
    private static final List<String> DOWNWARDS =
            List.of("cli", "transport", "protocol", "coordination", "bookkeeping");

    /**
     * The rooms of coordination; each may know those before it, and the package itself knows all.
     */
    private static final List<String> ROOMS =
            List.of(
                    "platform",
                    "admission",
                    "calendar",
                    "placement",
                    "hearing",
                    "serving",
                    "leadership",
                    "succession",
                    "fleet");

    private static final Path ROOT = Path.of("src/main/java/org/meadowhollow");
    private static final String IMPORT = "import org.meadowhollow.";

    private interface Check {
        void line(Path file, String otherPackage);
    }

    private static void imports(Path from, Check check) throws IOException {
        try (Stream<Path> files = Files.walk(from)) {
            for (Path file :
                    (Iterable<Path>)
                            files.filter(one -> one.toString().endsWith(".java"))::iterator) {
                for (String line : Files.readAllLines(file)) {
                    if (line.startsWith(IMPORT)) {
                        check.line(file, line.substring(IMPORT.length()));
                    }
                }
            }
        }
    }

    @Test
    void everyLayerImportsOnlyWhatIsBelowIt() throws IOException {
        List<String> wrong = new ArrayList<>();
        int[] seen = {0};
        for (String layer : DOWNWARDS) {
            imports(
                    ROOT.resolve(layer),
                    (file, other) -> {
                        seen[0]++;
                        if (DOWNWARDS.indexOf(other.split("\\.")[0]) < DOWNWARDS.indexOf(layer)) {
                            wrong.add(file + ": " + other);
                        }
                    });
        }
        assertEquals(List.of(), wrong);
        assertTrue(seen[0] > 100);
    }

    @Test
    void everyRoomOfCoordinationKnowsOnlyTheRoomsBeforeIt() throws IOException {
        List<String> wrong = new ArrayList<>();
        int[] seen = {0};
        for (String room : ROOMS) {
            imports(
                    ROOT.resolve("coordination").resolve(room),
                    (file, other) -> {
                        String[] path = other.split("\\.");
                        if (path[0].equals("coordination")) {
                            seen[0]++;
                            int at = ROOMS.indexOf(path[1]);
                            if (at < 0 || at > ROOMS.indexOf(room)) {
                                wrong.add(file + ": " + other);
                            }
                        }
                    });
        }
        assertEquals(List.of(), wrong);
        assertTrue(seen[0] > 20);
    }
}
