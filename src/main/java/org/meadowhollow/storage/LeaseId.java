package org.meadowhollow.storage;

/** A lease of the state service. */
public record LeaseId(long value) {}
