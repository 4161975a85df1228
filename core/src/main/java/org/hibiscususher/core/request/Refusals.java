package org.hibiscususher.core.request;

import org.hibiscususher.core.message.Output.RefuseRequest;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.Tick;

/** Refuses requests and counts the reasons. */
final class Refusals {
    private Refusals() {}

    /** Refuses a request of which no attempt was made. */
    static void refuse(Tick tick, long requestId, Refusal refusal) {
        tick.count("refusal." + refusal.code());
        tick.emit(new RefuseRequest(requestId, refusal));
    }

    /** Refuses a request at hand; says "not run" only if no earlier attempt may have run. */
    static void refuse(Tick tick, RequestRow row, Refusal refusal) {
        tick.world().requests().remove(row.id());
        boolean mayHaveRun = row.mayHaveRun() || refusal == Refusal.OUTCOME_UNKNOWN;
        IdempotencyKeyClaims.close(tick, row.id(), mayHaveRun);
        refuse(tick, row.id(), mayHaveRun ? Refusal.OUTCOME_UNKNOWN : refusal);
    }
}
