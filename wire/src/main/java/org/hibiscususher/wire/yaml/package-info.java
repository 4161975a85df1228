/** Reads YAML with the place of every finding. */
package org.hibiscususher.wire.yaml;
