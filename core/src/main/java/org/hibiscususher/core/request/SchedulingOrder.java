package org.hibiscususher.core.request;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.config.TeamSpec;
import org.hibiscususher.core.message.TeamEntitlement;
import org.hibiscususher.core.world.PoolEntitlementsRow;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.RequestState;
import org.hibiscususher.core.world.SchedulingClass;
import org.hibiscususher.core.world.TeamDeficitRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Chooses the scheduling class whose next request is placed.
 *
 * <p>Teams share a pool by deficit: a team's entitlement at this entry in slots, less the slots
 * that it uses here, accumulated over time in slot-milliseconds. The team with the largest deficit
 * goes first, so a team that has had less than its entitlement catches up.
 *
 * <p>Within a team, quick work goes before long work. Long work that has waited for half of its
 * wait limit goes first, so that a steady flow of quick work does not starve it.
 *
 * <p>An instance is valid for one tick.
 */
final class SchedulingOrder {
    /**
     * Age at which a reported entitlement, or a deficit that was not updated, is discarded, in ms.
     */
    private static final int EXPIRY_MS = 1_000;

    /** Longest time that one update of a deficit accounts for, in milliseconds. */
    private static final int MAX_STEP_MS = 50;

    /** Bound of the amount of a team's deficit, in slot-milliseconds. */
    private static final double MAX_DEFICIT_SLOT_MS = 1_000;

    /** Charge for a start within a tick, as the slot counts as in use only from the next tick. */
    private static final double START_COST_SLOT_MS = 50;

    private static final double MILLI_SLOTS_PER_SLOT = 1_000;

    private final Tick mTick;
    private final Map<TeamDeficitRow.Key, Double> mDeficits = new LinkedHashMap<>();

    private SchedulingOrder(Tick tick) {
        mTick = tick;
    }

    /**
     * Brings the deficits of the teams up to date and returns the order for a tick.
     *
     * @param tick the tick in which requests are to be placed
     * @param classes the scheduling classes that have placeable requests
     */
    static SchedulingOrder of(Tick tick, Collection<SchedulingClass> classes) {
        SchedulingOrder order = new SchedulingOrder(tick);
        Set<String> pools = new LinkedHashSet<>();
        classes.forEach(c -> pools.add(c.pool()));
        Map<TeamDeficitRow.Key, Integer> running = new LinkedHashMap<>();
        for (SchedulingClass schedulingClass : tick.world().requests().groups()) {
            if (pools.contains(schedulingClass.pool())) {
                int count = schedulingClass.state().placeable() ? 0 : order.size(schedulingClass);
                running.merge(
                        new TeamDeficitRow.Key(schedulingClass.pool(), schedulingClass.team()),
                        count,
                        Integer::sum);
            }
        }
        running.forEach(order::updateDeficit);
        pools.forEach(order::centerAndStore);
        tick.world().teamDeficits().removeIf(d -> tick.nowMs() - d.updatedMs() >= EXPIRY_MS);
        return order;
    }

    private int size(SchedulingClass schedulingClass) {
        return mTick.world().requests().group(schedulingClass).size();
    }

    /** Adds the shortfall since the last update; a team with nothing waiting has none. */
    private void updateDeficit(TeamDeficitRow.Key key, int running) {
        World world = mTick.world();
        double entitled = entitledSlots(key);
        TeamDeficitRow before =
                world.teamDeficits().find(key).orElse(new TeamDeficitRow(key, 0, mTick.nowMs()));
        long stepMs = Math.min(MAX_STEP_MS, mTick.nowMs() - before.updatedMs());
        double deficit = before.slotMs() + (entitled - running) * stepMs;
        mDeficits.put(key, hasWaiting(key) ? deficit : 0);
    }

    private boolean hasWaiting(TeamDeficitRow.Key key) {
        for (QueueKind kind : QueueKind.values()) {
            SchedulingClass schedulingClass =
                    new SchedulingClass(RequestState.WAITING, kind, key.pool(), key.team());
            if (size(schedulingClass) > 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Stores the deficits of a pool's teams, centered on the mean of the waiting teams and bounded.
     *
     * <p>Only the order of the deficits matters. Centering keeps a drift that they have in common
     * from carrying them all to the bound, where the order would be lost.
     */
    private void centerAndStore(String pool) {
        double sum = 0;
        int teams = 0;
        for (Map.Entry<TeamDeficitRow.Key, Double> entry : mDeficits.entrySet()) {
            if (entry.getKey().pool().equals(pool) && hasWaiting(entry.getKey())) {
                sum += entry.getValue();
                teams++;
            }
        }
        double mean = teams == 0 ? 0 : sum / teams;
        for (Map.Entry<TeamDeficitRow.Key, Double> entry : mDeficits.entrySet()) {
            TeamDeficitRow.Key key = entry.getKey();
            if (key.pool().equals(pool)) {
                double deficit = hasWaiting(key) ? entry.getValue() - mean : 0;
                double bounded =
                        Math.max(-MAX_DEFICIT_SLOT_MS, Math.min(MAX_DEFICIT_SLOT_MS, deficit));
                entry.setValue(bounded);
                mTick.world()
                        .teamDeficits()
                        .put(key, new TeamDeficitRow(key, bounded, mTick.nowMs()));
            }
        }
    }

    /**
     * Returns a team's entitlement in a pool at this entry, in slots.
     *
     * <p>Without a recent report of the allocator, the team's share serves as its entitlement.
     */
    private double entitledSlots(TeamDeficitRow.Key key) {
        PoolEntitlementsRow row = mTick.world().poolEntitlements().find(key.pool()).orElse(null);
        if (row == null || mTick.nowMs() - row.receivedMs() >= EXPIRY_MS) {
            TeamSpec team = mTick.world().configuration().teams().get(key.team());
            return team == null ? 0 : team.share();
        }
        for (TeamEntitlement entitlement : row.teams()) {
            if (entitlement.team().equals(key.team())) {
                return entitlement.milliSlots() / MILLI_SLOTS_PER_SLOT;
            }
        }
        return 0;
    }

    /** Charges the team of a scheduling class for a request that was started in this tick. */
    void recordStart(SchedulingClass schedulingClass) {
        mDeficits.merge(keyOf(schedulingClass), -START_COST_SLOT_MS, Double::sum);
    }

    private static TeamDeficitRow.Key keyOf(SchedulingClass schedulingClass) {
        return new TeamDeficitRow.Key(schedulingClass.pool(), schedulingClass.team());
    }

    /**
     * Returns the scheduling class that goes next.
     *
     * @param classes the classes to choose from; none is empty
     */
    SchedulingClass next(Collection<SchedulingClass> classes) {
        return classes.stream()
                .min(
                        Comparator.comparingDouble((SchedulingClass c) -> -mDeficits.get(keyOf(c)))
                                .thenComparing(this::rank)
                                .thenComparing(SchedulingClass::pool)
                                .thenComparing(SchedulingClass::team))
                .orElseThrow();
    }

    /** Returns the rank of a class among those of its team; a lower rank goes first. */
    private int rank(SchedulingClass schedulingClass) {
        RequestRow head = mTick.world().requests().group(schedulingClass).iterator().next();
        long halfTimeMs = (head.arrivedMs() + head.startByMs()) / 2;
        boolean overdue = schedulingClass.kind().ordinal() > 0 && mTick.nowMs() >= halfTimeMs;
        return overdue ? -1 : schedulingClass.kind().ordinal();
    }
}
