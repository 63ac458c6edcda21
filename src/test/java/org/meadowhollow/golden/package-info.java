/**
 * Golden files: stored records and messages between controllers exactly as an earlier version
 * encoded them, and their reader.
 *
 * <p>The files are kept as hex dumps under {@code src/test/resources/golden}. Tests in the packages
 * of the codecs decode them, check each field and encode them to the same bytes. Only {@code main}
 * methods write them, and never a test. This package holds no state and may use {@code model},
 * {@code protocol} and {@code storage}.
 */
package org.meadowhollow.golden;
