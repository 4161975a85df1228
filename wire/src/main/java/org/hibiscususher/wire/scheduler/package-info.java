/**
 * Protobuf encodings of the scheduler's records and of the messages by which entries forward
 * requests to its owner. The messages are declared in {@code scheduler.proto}.
 */
package org.hibiscususher.wire.scheduler;
