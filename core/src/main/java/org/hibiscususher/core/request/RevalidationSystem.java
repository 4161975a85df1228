package org.hibiscususher.core.request;

import java.util.Optional;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Revalidates waiting requests when a new revision of the configuration comes into force.
 *
 * <p>They were admitted under an earlier revision. Without this check, a request whose key has been
 * withdrawn since then could still start.
 */
public final class RevalidationSystem {
    private RevalidationSystem() {}

    /**
     * Refuses waiting requests whose key, team or queue is no longer declared, and assigns the
     * others to the team and pool that are declared for them now.
     */
    public static void run(Tick tick) {
        World world = tick.world();
        if (world.revision().sinceMs() != tick.nowMs()) {
            return;
        }
        for (RequestRow row : world.requests().rows()) {
            if (row.state().unsent()) {
                revalidate(tick, row);
            }
        }
    }

    private static void revalidate(Tick tick, RequestRow row) {
        World world = tick.world();
        Configuration configuration = world.configuration();
        QueueSpec queue = configuration.queues().get(row.arrival().queue());
        if (queue == null) {
            Refusals.refuse(tick, row, Refusal.QUEUE_UNKNOWN);
            return;
        }
        if (row.arrival().key().isEmpty() && queue.openTeam().isEmpty()) {
            Refusals.refuse(tick, row, Refusal.KEY_MISSING);
            return;
        }
        Optional<String> team =
                row.arrival().key().isPresent()
                        ? world.accessKeys().find(row.arrival().key().get()).map(KeySpec::team)
                        : queue.openTeam();
        if (team.isEmpty() || !configuration.teams().containsKey(team.get())) {
            Refusals.refuse(tick, row, Refusal.KEY_UNKNOWN);
            return;
        }
        if (!team.get().equals(row.team())
                || !queue.pool().equals(row.pool())
                || queue.kind() != row.kind()
                || queue.runLimitMs() != row.runLimitMs()) {
            world.requests().put(row.id(), row.admittedTo(queue, team.get()));
        }
    }
}
