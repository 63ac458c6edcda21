package org.meadowhollow.bookkeeping;

/** A lease of the state service. */
public record LeaseId(long value) {}
