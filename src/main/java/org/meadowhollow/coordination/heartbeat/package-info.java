/**
 * Whose reports come to this node, and what that says of the listener. Pure: decides from counts
 * and times passed in.
 */
package org.meadowhollow.coordination.heartbeat;
