/**
 * What the protocols share: the ports to HTTP, MessagePack and JSON bodies with checked access to
 * their fields, rate limits, and the routes of the public address. Each protocol has a package
 * below this one, in which a codec alone knows the fields of its messages.
 *
 * <p>The only state is that of the rate limiters, each guarded by its own lock. May call {@code
 * coordination}, {@code storage} and {@code model}; {@code transport} implements the ports.
 */
package org.meadowhollow.protocol;
