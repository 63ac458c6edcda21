package org.meadowhollow.model;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Method;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.api.WorkerGateway;

/** Guards against starts in requests to workers, of which copies may arrive at any later time. */
class WorkerCommandTest {
    @Test
    void onlyStopsAreSentDirectly() {
        assertArrayEquals(
                new Class<?>[] {WorkerCommand.Stop.class},
                WorkerCommand.Direct.class.getPermittedSubclasses());
    }

    @Test
    void theGatewayToWorkersTakesDirectCommandsAlone() {
        Method send =
                Arrays.stream(WorkerGateway.class.getMethods())
                        .filter(method -> method.getName().equals("sendCommands"))
                        .findFirst()
                        .orElseThrow();
        Type commands = send.getGenericParameterTypes()[send.getParameterCount() - 1];

        assertEquals(
                WorkerCommand.Direct.class,
                ((ParameterizedType) commands).getActualTypeArguments()[0]);
        assertEquals(1, WorkerGateway.class.getMethods().length);
    }
}
