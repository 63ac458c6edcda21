/**
 * HTTP over Undertow and XNIO: one event loop, a client with kept connections, and servers with a
 * bound on theirs. It implements the ports {@link org.meadowhollow.protocol.Http.Client} and {@link
 * org.meadowhollow.model.EventLoop} and calls {@link
 * org.meadowhollow.protocol.Http.RequestHandler}.
 *
 * <p>Connections and their limits belong to the event loop's thread and need no lock.
 */
package org.meadowhollow.transport;
