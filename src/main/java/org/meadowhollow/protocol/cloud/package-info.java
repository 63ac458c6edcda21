/**
 * The client of the cloud that rents out machines: machine types, renting (scale out), release
 * (scale in) and the list of machines. Only {@link org.meadowhollow.protocol.cloud.CloudCodec}
 * knows the cloud's names for fields and states. The only state is that of the rate limiter, which
 * has a lock of its own.
 */
package org.meadowhollow.protocol.cloud;
