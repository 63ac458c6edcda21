package org.meadowhollow.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.meadowhollow.model.reservation.MaintenanceWindow;

/** Tests that each stored word is decoded to the constant that it encodes. */
class StoredWordTest {
    @Test
    void constantsAreFoundByStoredWord() {
        for (JobKind kind : JobKind.values()) {
            assertEquals(kind, JobKind.fromStoredWord(kind.storedWord()));
        }
        for (Priority priority : Priority.values()) {
            assertEquals(priority, Priority.fromStoredWord(priority.storedWord()));
        }
        for (JobPhase phase : JobPhase.values()) {
            assertEquals(phase, JobPhase.fromStoredWord(phase.storedWord()));
        }
        for (MaintenanceWindow.Scope scope : MaintenanceWindow.Scope.values()) {
            assertEquals(scope, MaintenanceWindow.Scope.fromStoredWord(scope.storedWord()));
        }
    }

    @Test
    void unknownStoredWordIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> JobKind.fromStoredWord("array"));
        assertThrows(IllegalArgumentException.class, () -> Priority.fromStoredWord(null));
    }
}
