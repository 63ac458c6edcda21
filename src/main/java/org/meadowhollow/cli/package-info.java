/**
 * The command line of a controller: flags, the settings file and the creation of the controller's
 * components. {@link org.meadowhollow.cli.Controller} owns the event loop, the clients and the
 * servers of a running node; the other classes make no decisions and keep no state. The package may
 * call every other package and is called by none.
 */
package org.meadowhollow.cli;
