/**
 * The code that the protocols share: the HTTP ports, the MessagePack and JSON codecs with
 * type-checked access to fields, the rate limiter, and the routes of the public address. Each
 * protocol has a subpackage, in which only the codec knows the fields of the messages.
 *
 * <p>The only state is that of the rate limiters, each guarded by its own lock. May call {@code
 * coordination}, {@code storage} and {@code model}; {@code transport} implements the ports.
 */
package org.meadowhollow.protocol;
