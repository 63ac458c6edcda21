package org.meadowhollow.storage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.MachineId;

/**
 * Encodes and decodes the record of the machines that have a container image cached and of the
 * image's size. Field names and the order of machines are part of the persisted format.
 */
public final class ImageLocationsCodec {
    private static final String SIZE_GB = "gb";
    private static final String MACHINES = "machines";

    /**
     * Estimated encoding overhead of a machine's name, and of each other part of the record, in
     * bytes.
     */
    private static final int OVERHEAD_BYTES_PER_PART = 8;

    private ImageLocationsCodec() {}

    /**
     * An encoded record and its size.
     *
     * @param estimatedBytes the estimated size of the record in the key-value store
     */
    public record EncodedImageLocations(Map<String, Object> fields, int estimatedBytes) {}

    /**
     * Encodes the machines that have an image cached. If not all of them fit into a value, the last
     * ones are kept.
     *
     * @param sizeGb the size of the image in gigabytes
     * @param machines in the order in which they are known to have the image; the record lists them
     *     in the opposite order
     * @param maxValueBytes the largest value that the key-value store accepts
     */
    public static EncodedImageLocations encode(
            double sizeGb, List<MachineId> machines, int maxValueBytes) {
        List<Object> names = new ArrayList<>();
        int estimatedBytes = 4 * OVERHEAD_BYTES_PER_PART;
        for (int index = machines.size() - 1; index >= 0; index--) {
            String name = machines.get(index).value();
            estimatedBytes += name.length() + OVERHEAD_BYTES_PER_PART;
            if (estimatedBytes > maxValueBytes) {
                break;
            }
            names.add(name);
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(SIZE_GB, sizeGb);
        fields.put(MACHINES, names);
        return new EncodedImageLocations(fields, estimatedBytes);
    }

    /** The size of the image in gigabytes. */
    public static double sizeGbOf(Map<String, Object> fields) {
        return RecordFields.getDouble(fields, SIZE_GB);
    }

    /** The machines that have the image, the last encoded one first. */
    public static List<MachineId> machinesOf(Map<String, Object> fields) {
        List<MachineId> machines = new ArrayList<>();
        for (Object name : (List<?>) fields.get(MACHINES)) {
            machines.add(new MachineId((String) name));
        }
        return machines;
    }
}
