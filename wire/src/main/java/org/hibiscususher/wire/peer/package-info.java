/** Translates messages between entries to protobuf and back. */
package org.hibiscususher.wire.peer;
