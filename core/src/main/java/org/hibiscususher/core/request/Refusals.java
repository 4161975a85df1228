package org.hibiscususher.core.request;

import org.hibiscususher.core.message.Output.RefuseRequest;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.Tick;

/** Refuses requests and counts the refusals by reason. */
final class Refusals {
    private Refusals() {}

    /** Refuses a request by its id and leaves the tables unchanged. */
    static void refuse(Tick tick, long requestId, Refusal refusal) {
        tick.count("refusal." + refusal.code());
        tick.emit(new RefuseRequest(requestId, refusal));
    }

    /**
     * Removes a request from the tables and refuses it.
     *
     * <p>If an earlier attempt may have run, the reason becomes {@link Refusal#OUTCOME_UNKNOWN}:
     * any other reason could tell the caller that nothing ran, and it would send the request again.
     * Only if nothing ran is the request's idempotency key released.
     */
    static void refuse(Tick tick, RequestRow row, Refusal refusal) {
        tick.world().requests().remove(row.id());
        boolean mayHaveRun = row.mayHaveRun() || refusal == Refusal.OUTCOME_UNKNOWN;
        IdempotencyKeyClaims.close(tick, row.id(), mayHaveRun);
        refuse(tick, row.id(), mayHaveRun ? Refusal.OUTCOME_UNKNOWN : refusal);
    }
}
