package org.meadowhollow.bookkeeping;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ImageCacheTest {
    @Test
    void whatWasUsedLongestAgoMakesRoom() {
        ImageCache cache = new ImageCache(10);
        cache.use("one", 4);
        cache.use("two", 4);
        cache.use("one", 4);
        cache.use("three", 4);
        assertTrue(cache.has("one") && cache.has("three"));
        assertFalse(cache.has("two"));
    }

    @Test
    void anImageLargerThanTheCacheIsThereWhileItIsUsed() {
        ImageCache cache = new ImageCache(10);
        cache.use("small", 4);
        cache.use("huge", 12);
        assertTrue(cache.has("huge"));
        assertFalse(cache.has("small"));
    }
}
