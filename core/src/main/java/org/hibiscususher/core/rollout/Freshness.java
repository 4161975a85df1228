package org.hibiscususher.core.rollout;

import java.util.Optional;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.world.FreshnessRow;
import org.hibiscususher.core.world.NodeStage;
import org.hibiscususher.core.world.World;

/** Answers whether this entry may act on its configuration, and whether it may write a new one. */
public final class Freshness {
    private Freshness() {}

    /**
     * Returns whether the configuration in force here is known to be current to within {@link
     * #maxAgeMs}.
     *
     * @param nowMs milliseconds of the tick's clock
     */
    public static boolean isFresh(World world, long nowMs) {
        long ageMs = ageMs(world, nowMs);
        return world.node().stage() != NodeStage.EXPELLED && ageMs >= 0 && ageMs <= maxAgeMs(world);
    }

    /**
     * Returns the bound of freshness, in milliseconds.
     *
     * <p>An entry that has learnt at a time T, by an answer of the store, that a revision is
     * written may rely on this: no entry that lacks the revision admits or starts a request later
     * than T plus the bound. Entries with contact to the store stop earlier: the bound then counts
     * from the time of the write itself.
     */
    public static long maxAgeMs(World world) {
        return world.settings().freshnessMs();
    }

    /** Returns for how long the configuration is known to be current, -1 if it isn't known. */
    public static long ageMs(World world, long nowMs) {
        FreshnessRow row = world.freshness();
        return row.currentAsOfMs() < 0 ? -1 : nowMs - row.currentAsOfMs();
    }

    /**
     * Returns whether this entry may write a new head of the configuration.
     *
     * <p>It may while the membership record shows it as active and every member that takes work has
     * known so. Members without contact to the store can then tell from each other's word that
     * nothing was written: nobody whom they don't know can have done it.
     */
    public static boolean mayWriteHead(World world) {
        long incarnation = world.node().identity().incarnation();
        Optional<Member> own =
                world.membership().record().members().stream()
                        .filter(m -> m.id().equals(world.node().identity().id()))
                        .filter(m -> m.incarnation() == incarnation)
                        .findFirst();
        return world.node().confirmed()
                && own.map(m -> m.state() == MemberState.ACTIVE).orElse(false);
    }
}
