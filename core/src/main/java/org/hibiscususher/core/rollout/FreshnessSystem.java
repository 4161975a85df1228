package org.hibiscususher.core.rollout;

import org.hibiscususher.core.message.Input.RecordRead;
import org.hibiscususher.core.message.Input.RecordSwapped;
import org.hibiscususher.core.message.Input.RecordWatched;
import org.hibiscususher.core.message.SwapResult;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Keeps track of how current this entry's configuration is known to be. */
public final class FreshnessSystem {
    private FreshnessSystem() {}

    /** Notes contacts with the platform's store. */
    public static void run(Tick tick) {
        boolean contact =
                !tick.inputs(RecordRead.class).isEmpty()
                        || !tick.inputs(RecordWatched.class).isEmpty()
                        || tick.inputs(RecordSwapped.class).stream()
                                .anyMatch(s -> s.result() != SwapResult.UNKNOWN);
        if (contact) {
            tick.world().nodeTable().update(World.SELF, n -> n.withStoreContact(tick.nowMs()));
        }
    }
}
