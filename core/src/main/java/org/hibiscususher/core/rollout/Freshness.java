package org.hibiscususher.core.rollout;

import java.util.Optional;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.world.FreshnessRow;
import org.hibiscususher.core.world.NodeStage;
import org.hibiscususher.core.world.World;

/**
 * Decides whether this entry may act on its active configuration, and whether it may write a new
 * revision.
 *
 * <p>An entry without contact to the store and its peers can't learn that a key was withdrawn or a
 * limit lowered. So it stops admitting and starting requests once its configuration is no longer
 * known to be current.
 */
public final class Freshness {
    private Freshness() {}

    /**
     * Returns whether the active configuration was the newest at some time within the last {@link
     * #maxAgeMs}; always false on an entry that the membership record shows as ended.
     *
     * @param nowMs the current time, in milliseconds of the tick's clock
     */
    public static boolean isFresh(World world, long nowMs) {
        long ageMs = ageMs(world, nowMs);
        return world.node().stage() != NodeStage.EXPELLED && ageMs >= 0 && ageMs <= maxAgeMs(world);
    }

    /**
     * Returns the maximum age of a fresh configuration, in milliseconds.
     *
     * <p>If an entry learns at a time T, from the store, that a revision is written, then no entry
     * that lacks the revision admits or starts a request after T plus this age. Entries in contact
     * with the store stop earlier: for them the age counts from the write itself.
     */
    public static long maxAgeMs(World world) {
        return world.settings().freshnessMs();
    }

    /**
     * Returns the milliseconds since the time as of which the active configuration is known to have
     * been the newest, -1 if there is no such time.
     */
    public static long ageMs(World world, long nowMs) {
        FreshnessRow row = world.freshness();
        return row.currentAsOfMs() < 0 ? -1 : nowMs - row.currentAsOfMs();
    }

    /**
     * Returns whether this entry may write a new head of the configuration's history.
     *
     * <p>It may while the membership record shows this process as active and every member that
     * accepts work has confirmed an epoch of the record that does. Members without contact to the
     * store conclude from confirmations by all members they know that no newer revision was
     * written; a writer that one of them does not know yet would make that conclusion wrong.
     */
    public static boolean mayWriteHead(World world) {
        long incarnation = world.node().identity().incarnation();
        Optional<Member> self =
                world.membership().record().members().stream()
                        .filter(m -> m.id().equals(world.node().identity().id()))
                        .filter(m -> m.incarnation() == incarnation)
                        .findFirst();
        return world.node().confirmed()
                && self.map(m -> m.state() == MemberState.ACTIVE).orElse(false);
    }
}
