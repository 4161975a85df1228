package org.hibiscususher.core.table;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * A table with an index that finds rows by group.
 *
 * <p>A function maps each row to its group. Each change updates the index in constant time. Not
 * thread-safe: a table belongs to the control thread.
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

    /**
     * Creates an empty table.
     *
     * @param groupOf returns the group of a row; must depend on the row alone
     */
    public static <K, R, G> GroupedTable<K, R, G> createBy(Function<R, G> groupOf) {
        return new GroupedTable<>(requireNonNull(groupOf));
    }

    /**
     * Returns an unmodifiable view of the rows of a group, in the order in which they joined it.
     *
     * <p>The view follows changes of the table while the group has rows; it must not be iterated
     * across a change.
     */
    public Collection<R> group(G group) {
        return Collections.unmodifiableCollection(
                mGroups.getOrDefault(group, Collections.emptyMap()).values());
    }

    /**
     * Returns an unmodifiable view of the groups that have rows; it follows changes of the table.
     */
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
