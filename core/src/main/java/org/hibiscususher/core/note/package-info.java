/**
 * Release notes, by which operators change the configuration, and the check of a note against the
 * configuration that it applies to.
 */
package org.hibiscususher.core.note;
