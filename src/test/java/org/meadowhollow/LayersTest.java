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
    private static final Path ROOT = Path.of("src/main/java/org/meadowhollow");
    private static final String IMPORT = "import org.meadowhollow.";

    @Test
    void everyLayerImportsOnlyWhatIsBelowIt() throws IOException {
        List<String> wrong = new ArrayList<>();
        int seen = 0;
        for (String layer : DOWNWARDS) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(layer))) {
                for (Path file : (Iterable<Path>) files.filter(one -> one.toString().endsWith(".java"))::iterator) {
                    for (String line : Files.readAllLines(file)) {
                        if (line.startsWith(IMPORT)) {
                            String other = line.substring(IMPORT.length()).split("\\.")[0];
                            seen++;
                            if (DOWNWARDS.indexOf(other) < DOWNWARDS.indexOf(layer)) {
                                wrong.add(file + ": " + line);
                            }
                        }
                    }
                }
            }
        }
        assertEquals(List.of(), wrong);
        assertTrue(seen > 100);
    }
}
