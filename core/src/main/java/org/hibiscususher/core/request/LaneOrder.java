package org.hibiscususher.core.request;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.config.TeamSpec;
import org.hibiscususher.core.message.TeamLoad;
import org.hibiscususher.core.world.PoolLoadRow;
import org.hibiscususher.core.world.RequestLane;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Orders the lanes of waiting requests.
 *
 * <p>Quick work goes first while a pool runs less of it than its quick reserve. After that the team
 * goes first that runs least in the whole pool for its share, and of one team's work quick work,
 * unless long work has waited for half of its time.
 */
final class LaneOrder {
    private static final int LOAD_EXPIRY_MS = 1_000;

    private final Tick mTick;
    private final Map<TeamKey, Integer> mRunning = new HashMap<>();
    private final Map<String, Integer> mQuickRunning = new HashMap<>();

    private record TeamKey(String pool, String team) {}

    private LaneOrder(Tick tick) {
        mTick = tick;
    }

    /** Returns the order of lanes by what runs now here, and elsewhere as last reported. */
    static LaneOrder of(Tick tick, Collection<RequestLane> lanes) {
        LaneOrder order = new LaneOrder(tick);
        World world = tick.world();
        for (RequestLane lane : world.requests().groups()) {
            if (!lane.state().placeable()) {
                order.add(
                        lane.pool(), lane.team(), lane.kind(), world.requests().group(lane).size());
            }
        }
        lanes.stream().map(RequestLane::pool).distinct().forEach(order::addElsewhere);
        return order;
    }

    private void addElsewhere(String pool) {
        PoolLoadRow row = mTick.world().poolLoads().find(pool).orElse(null);
        if (row == null || mTick.nowMs() - row.atMs() >= LOAD_EXPIRY_MS) {
            return;
        }
        for (TeamLoad team : row.teams()) {
            add(pool, team.team(), QueueKind.QUICK, team.quick());
            add(pool, team.team(), QueueKind.LONG, team.longRuns());
        }
    }

    private void add(String pool, String team, QueueKind kind, int count) {
        mRunning.merge(new TeamKey(pool, team), count, Integer::sum);
        if (kind == QueueKind.QUICK) {
            mQuickRunning.merge(pool, count, Integer::sum);
        }
    }

    /** Notes that a request of a lane was started. */
    void started(RequestLane lane) {
        add(lane.pool(), lane.team(), lane.kind(), 1);
    }

    /** Returns the lane whose turn it is. */
    RequestLane first(Collection<RequestLane> lanes) {
        return lanes.stream()
                .min(
                        Comparator.comparing((RequestLane l) -> !reserved(l))
                                .thenComparing(this::load)
                                .thenComparing(this::rank)
                                .thenComparing(RequestLane::pool)
                                .thenComparing(RequestLane::team))
                .orElseThrow();
    }

    private boolean reserved(RequestLane lane) {
        PoolSpec pool = configuration().pools().get(lane.pool());
        return lane.kind() == QueueKind.QUICK
                && pool != null
                && mQuickRunning.getOrDefault(lane.pool(), 0) < pool.quickReserve();
    }

    private double load(RequestLane lane) {
        int running = mRunning.getOrDefault(new TeamKey(lane.pool(), lane.team()), 0);
        TeamSpec team = configuration().teams().get(lane.team());
        return team == null ? running : (double) running / team.share();
    }

    private int rank(RequestLane lane) {
        RequestRow head = mTick.world().requests().group(lane).iterator().next();
        long half = (head.arrivedMs() + head.startByMs()) / 2;
        boolean old = lane.kind() == QueueKind.LONG && mTick.nowMs() >= half;
        return old ? -1 : lane.kind().ordinal();
    }

    private Configuration configuration() {
        return mTick.world().configuration();
    }
}
