/**
 * Protobuf encodings of the messages by which entries exchange state. The messages are declared in
 * {@code peer.proto}.
 */
package org.hibiscususher.wire.peer;
