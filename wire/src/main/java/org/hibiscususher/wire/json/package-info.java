/** Translates records of the platform's store to JSON and back. */
package org.hibiscususher.wire.json;
