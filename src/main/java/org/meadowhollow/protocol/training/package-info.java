/**
 * The platform stub for the training run of class data sharing, in which the build records the
 * classes that a controller loads. Not used by a running node.
 */
package org.meadowhollow.protocol.training;
