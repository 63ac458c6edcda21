package org.meadowhollow.simulation;

import java.io.IOException;
import java.util.Map;
import org.meadowhollow.golden.GoldenFile;

/**
 * Writes the golden files of a task of the task execution API. Do not run it again: the existing
 * files are what versions in use have written (see {@code GoldenFilesMain}).
 */
final class GoldenTesFilesMain {
    private GoldenTesFilesMain() {}

    public static void main(String[] unused) throws IOException {
        FakeKeyValueStore store = GoldenTesTask.clusterWithAcceptedTask().store();
        Map<String, Object> task = store.valueOf("tes/" + GoldenTesTask.ID);
        GoldenFile.write("tes-task", "tes/" + GoldenTesTask.ID, task);
        GoldenFile.write(
                "tes-job",
                "job/" + GoldenTesTask.ID,
                GoldenFile.sorted(store.valueOf("job/" + GoldenTesTask.ID)));
        String entry = (String) task.get("entry");
        GoldenFile.write("tes-entry", entry, GoldenFile.sorted(store.valueOf(entry)));
    }
}
