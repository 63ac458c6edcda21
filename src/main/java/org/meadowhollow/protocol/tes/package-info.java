/**
 * The GA4GH task execution API (TES 1.1), which uses the same admission as native jobs. It stores a
 * record and a list entry for each task in the same transaction as the job, and makes no scheduling
 * decisions. Its state in memory is a cache of the records, which never change, and the count of
 * listings in progress, each guarded by its own lock. The package may call {@code
 * coordination.admission}, {@code storage} and {@code model}.
 */
package org.meadowhollow.protocol.tes;
