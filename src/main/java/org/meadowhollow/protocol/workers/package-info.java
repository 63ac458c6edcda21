/**
 * The protocol with workers: heartbeats that they send, the commands that answer them, and commands
 * that a leader sends directly. {@link org.meadowhollow.protocol.workers.WorkerCodec} alone knows
 * the platform's words. The package keeps no state; it may call the ports of {@code
 * coordination.api} and the types of {@code model}.
 */
package org.meadowhollow.protocol.workers;
