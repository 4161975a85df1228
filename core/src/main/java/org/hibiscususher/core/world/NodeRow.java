package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * What this process knows of itself.
 *
 * @param identity who it is
 * @param stage whether it takes work
 * @param lastTickMs when the last tick ran, in milliseconds of the caller's clock
 * @param storeContactMs when the store last answered, -1 if never
 * @param resumedMs when the process started or last went on after a pause
 * @param activeEpoch epoch in which the record began to show it as active, 0 if it does not
 * @param confirmed whether every member that takes work has known that epoch or a later one
 */
public record NodeRow(
        NodeIdentity identity,
        NodeStage stage,
        long lastTickMs,
        long storeContactMs,
        long resumedMs,
        long activeEpoch,
        boolean confirmed) {
    /** Checks the fields. */
    public NodeRow {
        requireNonNull(identity);
        requireNonNull(stage);
    }

    /** Returns the row of a process that has just started. */
    public static NodeRow started(NodeIdentity identity, long nowMs) {
        return new NodeRow(identity, NodeStage.JOINING, nowMs, -1, nowMs, 0, false);
    }

    /** Returns a copy with another identity. */
    public NodeRow withIdentity(NodeIdentity value) {
        return new NodeRow(
                value, stage, lastTickMs, storeContactMs, resumedMs, activeEpoch, confirmed);
    }

    /** Returns a copy in another stage. */
    public NodeRow withStage(NodeStage value) {
        return new NodeRow(
                identity, value, lastTickMs, storeContactMs, resumedMs, activeEpoch, confirmed);
    }

    /** Returns a copy with another time of the last tick. */
    public NodeRow withLastTick(long value) {
        return new NodeRow(
                identity, stage, value, storeContactMs, resumedMs, activeEpoch, confirmed);
    }

    /** Returns a copy with another time of contact with the store. */
    public NodeRow withStoreContact(long value) {
        return new NodeRow(identity, stage, lastTickMs, value, resumedMs, activeEpoch, confirmed);
    }

    /** Returns a copy after a pause that has just ended. */
    public NodeRow withResumed(long value) {
        return new NodeRow(
                identity, stage, lastTickMs, storeContactMs, value, activeEpoch, confirmed);
    }

    /** Returns a copy that the record shows as active since an epoch, not yet confirmed. */
    public NodeRow withActiveEpoch(long value) {
        return new NodeRow(identity, stage, lastTickMs, storeContactMs, resumedMs, value, false);
    }

    /** Returns a copy whose present activity every other member has known. */
    public NodeRow withConfirmed() {
        return new NodeRow(
                identity, stage, lastTickMs, storeContactMs, resumedMs, activeEpoch, true);
    }
}
