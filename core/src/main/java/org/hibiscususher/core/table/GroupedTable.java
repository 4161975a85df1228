package org.hibiscususher.core.table;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * A table that also finds its rows by a group that each row names.
 *
 * <p>Keeping the groups costs constant time for each change. Not thread-safe.
 *
 * @param <K> the type of the ids
 * @param <R> the type of the rows
 * @param <G> the type of the groups
 */
public final class GroupedTable<K, R, G> extends Table<K, R> {
    private final Function<R, G> mGroupOf;
    private final Map<G, Map<K, R>> mGroups = new LinkedHashMap<>();

    private GroupedTable(Function<R, G> groupOf) {
        mGroupOf = groupOf;
    }

    /** Creates an empty table whose rows belong to the groups that the function names. */
    public static <K, R, G> GroupedTable<K, R, G> createBy(Function<R, G> groupOf) {
        return new GroupedTable<>(requireNonNull(groupOf));
    }

    /** Returns a live, unmodifiable view of the rows of a group, in the order they came to it. */
    public Collection<R> group(G group) {
        return Collections.unmodifiableCollection(
                mGroups.getOrDefault(group, Collections.emptyMap()).values());
    }

    /** Returns a live, unmodifiable view of the groups that have rows. */
    public Set<G> groups() {
        return Collections.unmodifiableSet(mGroups.keySet());
    }

    @Override
    void onChange(K id, R before, R after) {
        G from = before == null ? null : mGroupOf.apply(before);
        G to = after == null ? null : mGroupOf.apply(after);
        if (from != null && !from.equals(to)) {
            Map<K, R> rows = mGroups.get(from);
            rows.remove(id);
            if (rows.isEmpty()) {
                mGroups.remove(from);
            }
        }
        if (to != null) {
            mGroups.computeIfAbsent(to, g -> new LinkedHashMap<>()).put(id, after);
        }
    }
}
