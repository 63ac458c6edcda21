package org.meadowhollow.model;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The container images that a machine probably has cached: the most recently used ones that fit
 * into its cache. Not thread-safe: guarded like its machine.
 */
public final class ImageCache {
    private static final int INITIAL_CAPACITY = 8;
    private static final float LOAD_FACTOR = 0.75f;

    private final double capacityGb;
    private final Map<String, Double> sizeGbByImage =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private double usedGb;

    ImageCache(double capacityGb) {
        this.capacityGb = capacityGb;
    }

    /** Whether an image is probably cached. */
    public boolean contains(String image) {
        return sizeGbByImage.containsKey(image);
    }

    /**
     * Records that a task with this image is on the machine, and evicts the least recently used
     * images until all fit or only this one is left.
     *
     * @param sizeGb the size of the image in gigabytes
     */
    public void recordUse(String image, double sizeGb) {
        if (sizeGbByImage.get(image) != null) {
            return;
        }
        sizeGbByImage.put(image, sizeGb);
        usedGb += sizeGb;
        for (Iterator<Double> eldest = sizeGbByImage.values().iterator();
                usedGb > capacityGb && sizeGbByImage.size() > 1; ) {
            usedGb -= eldest.next();
            eldest.remove();
        }
    }
}
