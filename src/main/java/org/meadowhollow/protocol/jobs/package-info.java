/**
 * The protocol with users: submissions, the status of jobs and cancellations. The codecs alone know
 * the platform's words. The package keeps no state; it may call {@code coordination.admission} and
 * the types of {@code model}.
 */
package org.meadowhollow.protocol.jobs;
