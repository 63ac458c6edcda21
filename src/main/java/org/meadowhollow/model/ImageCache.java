package org.meadowhollow.model;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** What a machine probably has cached: the images most recently used on it, as far as they fit. */
public final class ImageCache {
    private static final int INITIAL_CAPACITY = 8;
    private static final float LOAD_FACTOR = 0.75f;

    private final double capacityGb;
    private final Map<String, Double> sizeGbByImage =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private double usedGb;

    ImageCache(double roomGb) {
        this.capacityGb = roomGb;
    }

    public boolean contains(String image) {
        return sizeGbByImage.containsKey(image);
    }

    /**
     * Notes that a task with this image is on the machine; what was used longest ago makes room for
     * it.
     */
    public void recordUse(String image, double gb) {
        if (sizeGbByImage.get(image) != null) {
            return;
        }
        sizeGbByImage.put(image, gb);
        usedGb += gb;
        for (Iterator<Double> eldest = sizeGbByImage.values().iterator();
                usedGb > capacityGb && sizeGbByImage.size() > 1; ) {
            usedGb -= eldest.next();
            eldest.remove();
        }
    }
}
