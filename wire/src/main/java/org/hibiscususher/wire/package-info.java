/**
 * Encodings, apart from the decisions in {@code core}: YAML for operators, JSON for the platform's
 * store and for replies to operators, protobuf between entries and for the scheduler's records.
 */
package org.hibiscususher.wire;
