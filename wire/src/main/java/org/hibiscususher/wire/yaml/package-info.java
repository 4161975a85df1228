/**
 * Reads release notes and other YAML files of operators, and writes release notes. All errors of a
 * file are reported at once, each with its line and column.
 */
package org.hibiscususher.wire.yaml;
