package org.hibiscususher.core.config;

import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The edits that a delta makes to the declarations of one type. Immutable.
 *
 * @param put declarations to add, or to replace those with the same id
 * @param removed ids of declarations to remove
 * @param <T> type of the declarations
 */
public record Edits<T>(List<T> put, List<String> removed) {
    /** Copies the lists. */
    public Edits {
        put = List.copyOf(put);
        removed = List.copyOf(removed);
    }

    /** Returns an empty set of edits. */
    public static <T> Edits<T> none() {
        return new Edits<>(List.of(), List.of());
    }

    /** Returns whether there are no edits. */
    public boolean isEmpty() {
        return put.isEmpty() && removed.isEmpty();
    }

    /** Returns how many declarations are added, replaced or removed. */
    public int size() {
        return put.size() + removed.size();
    }

    /** Returns the edits that turn one map into another. Takes linear time. */
    static <T> Edits<T> between(SortedMap<String, T> before, SortedMap<String, T> after) {
        return new Edits<>(
                after.entrySet().stream()
                        .filter(e -> !Objects.equals(before.get(e.getKey()), e.getValue()))
                        .map(java.util.Map.Entry::getValue)
                        .toList(),
                before.keySet().stream().filter(id -> !after.containsKey(id)).toList());
    }

    /**
     * Returns the map with the edits applied; the given map stays as it is.
     *
     * @param idOf returns the id of a declaration
     */
    SortedMap<String, T> applyTo(SortedMap<String, T> before, Function<T, String> idOf) {
        if (isEmpty()) {
            return before;
        }
        SortedMap<String, T> after = new TreeMap<>(before);
        removed.forEach(after::remove);
        put.forEach(t -> after.put(idOf.apply(t), t));
        return after;
    }
}
