/**
 * The command: flags, the settings file and the wiring of a controller. {@link
 * org.meadowhollow.cli.Controller} owns the event loop, the clients and the servers of a running
 * node; everything else decides nothing and keeps no state. May call every other package, and is
 * called by none.
 */
package org.meadowhollow.cli;
