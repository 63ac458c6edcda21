package org.meadowhollow.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.meadowhollow.model.reservation.MaintenanceWindow;

/** Tests that each stored name is decoded to the constant that it encodes. */
class StoredWordTest {
    @Test
    void constantsAreFoundByStoredName() {
        for (JobKind kind : JobKind.values()) {
            assertEquals(kind, JobKind.fromStoredName(kind.storedName()));
        }
        for (Priority priority : Priority.values()) {
            assertEquals(priority, Priority.fromStoredName(priority.storedName()));
        }
        for (JobPhase phase : JobPhase.values()) {
            assertEquals(phase, JobPhase.fromStoredName(phase.storedName()));
        }
        for (MaintenanceWindow.Scope scope : MaintenanceWindow.Scope.values()) {
            assertEquals(scope, MaintenanceWindow.Scope.fromStoredName(scope.storedName()));
        }
    }

    @Test
    void unknownStoredNameIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> JobKind.fromStoredName("array"));
        assertThrows(IllegalArgumentException.class, () -> Priority.fromStoredName(null));
    }
}
