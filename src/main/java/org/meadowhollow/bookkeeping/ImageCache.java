package org.meadowhollow.bookkeeping;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** What a machine probably has cached: the images most recently used on it, as far as they fit. */
public final class ImageCache {
    private static final int FIRST_SIZE = 8;
    private static final float LOAD = 0.75f;

    private final double roomGb;
    private final Map<String, Double> sizes = new LinkedHashMap<>(FIRST_SIZE, LOAD, true);
    private double usedGb;

    ImageCache(double roomGb) {
        this.roomGb = roomGb;
    }

    public boolean has(String image) {
        return sizes.containsKey(image);
    }

    /**
     * Notes that a task with this image is on the machine; what was used longest ago makes room for
     * it.
     */
    public void use(String image, double gb) {
        if (sizes.get(image) != null) {
            return;
        }
        sizes.put(image, gb);
        usedGb += gb;
        for (Iterator<Double> eldest = sizes.values().iterator();
                usedGb > roomGb && sizes.size() > 1; ) {
            usedGb -= eldest.next();
            eldest.remove();
        }
    }
}
