/**
 * The protocol with workers: their heartbeats, the commands in the responses to them, and the
 * commands that a leader sends directly. Only {@link org.meadowhollow.protocol.workers.WorkerCodec}
 * knows the platform's names for fields and states. The package keeps no state; it may call the
 * ports of {@code coordination.api} and the types of {@code model}.
 */
package org.meadowhollow.protocol.workers;
