/**
 * Golden files: stored records and messages between controllers, byte for byte as an earlier
 * version encoded them, and the class that reads and writes them.
 *
 * <p>The files are kept as hex dumps under {@code src/test/resources/golden}. Tests in the packages
 * of the codecs decode them, check each field and encode them again to the same bytes. Only {@code
 * main} methods write them, and never a test. This package has no state and may depend on {@code
 * model}, {@code protocol} and {@code storage}.
 */
package org.meadowhollow.golden;
