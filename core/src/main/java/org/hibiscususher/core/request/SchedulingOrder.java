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
 * Orders the lanes of waiting requests.
 *
 * <p>The team goes first whose slots in use at this entry have fallen furthest short of what it was
 * due here, added up over time. Of one team's work quick work goes first, unless long work has
 * waited for half of its time.
 */
final class SchedulingOrder {
    private static final int DUES_EXPIRY_MS = 1_000;
    private static final int LONGEST_STEP_MS = 50;
    private static final double MOST_CREDIT_MS = 1_000;
    private static final double START_COST_MS = 50;
    private static final double MILLI = 1_000;

    private final Tick mTick;
    private final Map<TeamDeficitRow.Key, Double> mCredits = new LinkedHashMap<>();

    private SchedulingOrder(Tick tick) {
        mTick = tick;
    }

    /** Returns the order of the lanes of a tick, and adds up what their teams fell short of. */
    static SchedulingOrder of(Tick tick, Collection<SchedulingClass> lanes) {
        SchedulingOrder order = new SchedulingOrder(tick);
        Set<String> pools = new LinkedHashSet<>();
        lanes.forEach(l -> pools.add(l.pool()));
        Map<TeamDeficitRow.Key, Integer> running = new LinkedHashMap<>();
        for (SchedulingClass lane : tick.world().requests().groups()) {
            if (pools.contains(lane.pool())) {
                int count = lane.state().placeable() ? 0 : order.size(lane);
                running.merge(
                        new TeamDeficitRow.Key(lane.pool(), lane.team()), count, Integer::sum);
            }
        }
        running.forEach(order::addUp);
        pools.forEach(order::level);
        tick.world().teamDeficits().removeIf(c -> tick.nowMs() - c.updatedMs() >= DUES_EXPIRY_MS);
        return order;
    }

    private int size(SchedulingClass lane) {
        return mTick.world().requests().group(lane).size();
    }

    private void addUp(TeamDeficitRow.Key key, int running) {
        World world = mTick.world();
        double due = due(key);
        TeamDeficitRow before =
                world.teamDeficits().find(key).orElse(new TeamDeficitRow(key, 0, mTick.nowMs()));
        long stepMs = Math.min(LONGEST_STEP_MS, mTick.nowMs() - before.updatedMs());
        double sum = before.slotMs() + (due - running) * stepMs;
        mCredits.put(key, waits(key) ? sum : 0);
    }

    private boolean waits(TeamDeficitRow.Key key) {
        for (QueueKind kind : QueueKind.values()) {
            SchedulingClass lane =
                    new SchedulingClass(RequestState.WAITING, kind, key.pool(), key.team());
            if (size(lane) > 0) {
                return true;
            }
        }
        return false;
    }

    /** Takes the mean from the credits of a pool's waiting teams, since only their order counts. */
    private void level(String pool) {
        double sum = 0;
        int teams = 0;
        for (Map.Entry<TeamDeficitRow.Key, Double> entry : mCredits.entrySet()) {
            if (entry.getKey().pool().equals(pool) && waits(entry.getKey())) {
                sum += entry.getValue();
                teams++;
            }
        }
        double mean = teams == 0 ? 0 : sum / teams;
        for (Map.Entry<TeamDeficitRow.Key, Double> entry : mCredits.entrySet()) {
            TeamDeficitRow.Key key = entry.getKey();
            if (key.pool().equals(pool)) {
                double credit = waits(key) ? entry.getValue() - mean : 0;
                double kept = Math.max(-MOST_CREDIT_MS, Math.min(MOST_CREDIT_MS, credit));
                entry.setValue(kept);
                mTick.world().teamDeficits().put(key, new TeamDeficitRow(key, kept, mTick.nowMs()));
            }
        }
    }

    private double due(TeamDeficitRow.Key key) {
        PoolEntitlementsRow row = mTick.world().poolEntitlements().find(key.pool()).orElse(null);
        if (row == null || mTick.nowMs() - row.receivedMs() >= DUES_EXPIRY_MS) {
            TeamSpec team = mTick.world().configuration().teams().get(key.team());
            return team == null ? 0 : team.share();
        }
        for (TeamEntitlement due : row.teams()) {
            if (due.team().equals(key.team())) {
                return due.milliSlots() / MILLI;
            }
        }
        return 0;
    }

    /** Notes that a request of a lane was started. */
    void recordStart(SchedulingClass lane) {
        mCredits.merge(keyOf(lane), -START_COST_MS, Double::sum);
    }

    private static TeamDeficitRow.Key keyOf(SchedulingClass lane) {
        return new TeamDeficitRow.Key(lane.pool(), lane.team());
    }

    /** Returns the lane whose turn it is. */
    SchedulingClass next(Collection<SchedulingClass> lanes) {
        return lanes.stream()
                .min(
                        Comparator.comparingDouble((SchedulingClass l) -> -mCredits.get(keyOf(l)))
                                .thenComparing(this::rank)
                                .thenComparing(SchedulingClass::pool)
                                .thenComparing(SchedulingClass::team))
                .orElseThrow();
    }

    private int rank(SchedulingClass lane) {
        RequestRow head = mTick.world().requests().group(lane).iterator().next();
        long half = (head.arrivedMs() + head.startByMs()) / 2;
        boolean old = lane.kind().ordinal() > 0 && mTick.nowMs() >= half;
        return old ? -1 : lane.kind().ordinal();
    }
}
