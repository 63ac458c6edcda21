package org.meadowhollow.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;

/** Tests the types of exceptions and how callers get the outcome of a failed request. */
class KeyValueStoreExceptionTest {
    @ParameterizedTest
    @EnumSource
    void eachOutcomeHasItsOwnExceptionType(Outcome outcome) {
        KeyValueStoreException failure = KeyValueStoreException.of(outcome, "why");
        assertEquals(outcome, failure.outcome());
        assertEquals("why", failure.getMessage());
        Class<? extends KeyValueStoreException> type =
                switch (outcome) {
                    case REJECTED -> RequestRejectedException.class;
                    case INDETERMINATE -> IndeterminateOutcomeException.class;
                    case LEASE_EXPIRED -> LeaseExpiredException.class;
                    case COMPACTED -> WatchCompactedException.class;
                    case INVALID_REQUEST -> InvalidRequestException.class;
                };
        assertEquals(type, failure.getClass());
    }

    @Test
    void outcomeIsTakenFromWrappedException() {
        Throwable failure = new LeaseExpiredException("expired");
        assertEquals(Outcome.LEASE_EXPIRED, KeyValueStoreException.outcomeOf(failure));
        assertEquals(
                Outcome.LEASE_EXPIRED,
                KeyValueStoreException.outcomeOf(new CompletionException(failure)));
        assertEquals(
                Outcome.INDETERMINATE,
                KeyValueStoreException.outcomeOf(new IllegalStateException("something else")));
    }
}
