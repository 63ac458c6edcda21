package org.meadowhollow.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which images {@link ImageCache} evicts when the cache is full. */
class ImageCacheTest {
    @Test
    void leastRecentlyUsedImageIsEvicted() {
        ImageCache cache = new ImageCache(10);
        cache.recordUse("one", 4);
        cache.recordUse("two", 4);
        cache.recordUse("one", 4);
        cache.recordUse("three", 4);
        assertTrue(cache.contains("one") && cache.contains("three"));
        assertFalse(cache.contains("two"));
    }

    @Test
    void imageLargerThanCacheIsKeptWhileMostRecent() {
        ImageCache cache = new ImageCache(10);
        cache.recordUse("small", 4);
        cache.recordUse("huge", 12);
        assertTrue(cache.contains("huge"));
        assertFalse(cache.contains("small"));
    }
}
