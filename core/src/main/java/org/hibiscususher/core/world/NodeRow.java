package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * The state of this process.
 *
 * @param identity its identity
 * @param stage whether it admits work
 * @param lastTickMs when the last tick ran, in milliseconds of the tick clock
 * @param storeContactMs when the store last responded, in milliseconds, -1 if never
 * @param resumedMs when the process started or last resumed after a pause, in milliseconds
 * @param activeEpoch membership epoch at which the record began to list it as active, 0 if it is
 *     not listed so
 * @param confirmed whether every member that accepts work is known to know that epoch or a later
 *     one
 */
public record NodeRow(
        NodeIdentity identity,
        NodeStage stage,
        long lastTickMs,
        long storeContactMs,
        long resumedMs,
        long activeEpoch,
        boolean confirmed) {
    /** Rejects null components. */
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

    /** Returns a copy after a tick at the given time. */
    public NodeRow withLastTick(long value) {
        return new NodeRow(
                identity, stage, value, storeContactMs, resumedMs, activeEpoch, confirmed);
    }

    /** Returns a copy after a response of the store at the given time. */
    public NodeRow withStoreContact(long value) {
        return new NodeRow(identity, stage, lastTickMs, value, resumedMs, activeEpoch, confirmed);
    }

    /** Returns a copy that resumed after a pause at the given time. */
    public NodeRow withResumed(long value) {
        return new NodeRow(
                identity, stage, lastTickMs, storeContactMs, value, activeEpoch, confirmed);
    }

    /**
     * Returns a copy that is listed as active since the given epoch, not yet confirmed; 0 if it is
     * not listed so.
     */
    public NodeRow withActiveEpoch(long value) {
        return new NodeRow(identity, stage, lastTickMs, storeContactMs, resumedMs, value, false);
    }

    /** Returns a copy whose being active is known to every other member that is not silent. */
    public NodeRow withConfirmed() {
        return new NodeRow(
                identity, stage, lastTickMs, storeContactMs, resumedMs, activeEpoch, true);
    }
}
