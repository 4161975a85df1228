/** The daemon's settings: reads them from YAML and reports all errors of a file at once. */
package org.hibiscususher.daemon.settings;
