/** The daemon's settings, read from YAML and checked as a whole. */
package org.hibiscususher.daemon.settings;
