/**
 * The client of the cloud that rents out machines: types, renting (scale out), release (scale in)
 * and the list of machines. {@link org.meadowhollow.protocol.cloud.CloudCodec} alone knows the
 * cloud's words. The only state is that of the rate limiter, which has a lock of its own.
 */
package org.meadowhollow.protocol.cloud;
