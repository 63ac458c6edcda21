/**
 * The user API for native jobs: submission, status and cancellation. Only the codecs know its field
 * names and values. The package keeps no state; it may call {@code coordination.admission} and the
 * types of {@code model}.
 */
package org.meadowhollow.protocol.jobs;
