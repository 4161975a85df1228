package org.hibiscususher.core.control;

import java.util.LinkedHashSet;
import java.util.Set;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.Output.RefuseRequest;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.world.Tick;

/** The requests that arrived for a tick and were neither admitted nor refused by its systems. */
final class UndecidedRequests {
    private UndecidedRequests() {}

    /** Refuses them: no later tick would, as each input is read once. */
    static void refuse(Tick tick) {
        Set<Long> refused = new LinkedHashSet<>();
        tick.outputs().stream()
                .filter(RefuseRequest.class::isInstance)
                .forEach(o -> refused.add(((RefuseRequest) o).requestId()));
        for (RequestArrived arrival : tick.inputs(RequestArrived.class)) {
            long id = arrival.requestId();
            if (!refused.contains(id) && !tick.world().requests().contains(id)) {
                tick.count("refusal." + Refusal.ENTRY_FAILED.code());
                tick.emit(new RefuseRequest(id, Refusal.ENTRY_FAILED));
            }
        }
    }
}
