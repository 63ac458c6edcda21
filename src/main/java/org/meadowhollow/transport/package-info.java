/**
 * HTTP over Undertow and XNIO: one event loop, a client that pools its connections, and servers
 * that limit theirs. The package implements the ports {@link org.meadowhollow.protocol.Http.Client}
 * and {@link org.meadowhollow.model.EventLoop} and calls {@link
 * org.meadowhollow.protocol.Http.RequestHandler}.
 *
 * <p>Connections and their limits are used on the event loop's thread only and need no lock.
 */
package org.meadowhollow.transport;
