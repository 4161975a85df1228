/** Release notes: what operators add, change and withdraw, and the check of a note as a whole. */
package org.hibiscususher.core.note;
