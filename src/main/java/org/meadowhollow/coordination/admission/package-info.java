/**
 * What users ask: accepting, showing and cancelling jobs, at any node, straight from the state
 * service.
 */
package org.meadowhollow.coordination.admission;
