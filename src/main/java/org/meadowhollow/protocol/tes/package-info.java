/**
 * The GA4GH task execution API (TES 1.1) on the same admission as native jobs. It stores a record
 * and a list entry for each task, written in the same transaction as the job, and decides nothing
 * about scheduling. Its state in memory is a cache of records, which never change, and the count of
 * listings in progress, each under its own lock. May call {@code coordination.admission}, {@code
 * storage} and {@code model}.
 */
package org.meadowhollow.protocol.tes;
