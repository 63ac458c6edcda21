package org.meadowhollow.storage;

/** The identifier of a lease that the key-value store granted. */
public record LeaseId(long value) {}
