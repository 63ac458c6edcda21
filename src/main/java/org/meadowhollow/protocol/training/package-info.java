/**
 * The stub of the platform for the training run of class data sharing, in which the build learns
 * the classes that a controller loads. Not used by a running node.
 */
package org.meadowhollow.protocol.training;
