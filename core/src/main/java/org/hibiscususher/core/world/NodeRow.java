package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * What this process knows of itself.
 *
 * @param identity who it is
 * @param stage whether it takes work
 * @param lastTickMs when the last tick ran, in milliseconds of the caller's clock
 * @param storeContactMs when the store last answered, -1 if never
 */
public record NodeRow(
        NodeIdentity identity, NodeStage stage, long lastTickMs, long storeContactMs) {
    /** Checks the fields. */
    public NodeRow {
        requireNonNull(identity);
        requireNonNull(stage);
    }

    /** Returns a copy in another stage. */
    public NodeRow withStage(NodeStage value) {
        return new NodeRow(identity, value, lastTickMs, storeContactMs);
    }

    /** Returns a copy with another time of the last tick. */
    public NodeRow withLastTick(long value) {
        return new NodeRow(identity, stage, value, storeContactMs);
    }

    /** Returns a copy with another time of contact with the store. */
    public NodeRow withStoreContact(long value) {
        return new NodeRow(identity, stage, lastTickMs, value);
    }
}
