package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.PermitGroup;

/**
 * A group of permits that this entry allocates.
 *
 * @param group the group
 * @param sinceEpoch the epoch since which this entry has allocated it without a break
 * @param answers what is known of the members that may hold its permits
 * @param dueMs when the group is to be balanced again
 * @param askedMs when members without an answer were last asked, -1 if never
 */
public record TenureRow(
        PermitGroup group,
        long sinceEpoch,
        Map<MemberKey, Answer> answers,
        long dueMs,
        long askedMs) {
    /** Time of a group at which nothing is due, and end of the rest of a member that lives. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Copies the map. */
    public TenureRow {
        requireNonNull(group);
        answers = Collections.unmodifiableMap(new LinkedHashMap<>(answers));
    }

    /**
     * What is known of a member.
     *
     * @param basis the basis of its claim, -1 if it has not answered
     * @param state its state in the membership record as last seen
     * @param restUntilMs when what it holds is free, {@link #NEVER} while it may live
     */
    public record Answer(long basis, MemberState state, long restUntilMs) {
        /** Checks the fields. */
        public Answer {
            requireNonNull(state);
        }

        /** Returns whether the member has told what it holds. */
        public boolean known() {
            return basis >= 0;
        }
    }

    /** Returns whether a member that has not answered may hold permits. */
    public boolean inDoubt() {
        return answers.values().stream().anyMatch(a -> !a.known());
    }

    /** Returns a copy that is to be balanced at a time, or earlier if that was so before. */
    public TenureRow withDue(long atMs) {
        return withNextDue(Math.min(dueMs, atMs));
    }

    /** Returns a copy that is to be balanced at a time. */
    public TenureRow withNextDue(long atMs) {
        return new TenureRow(group, sinceEpoch, answers, atMs, askedMs);
    }

    /** Returns a copy whose members were asked at a time. */
    public TenureRow withAsked(long nowMs) {
        return new TenureRow(group, sinceEpoch, answers, dueMs, nowMs);
    }

    /** Returns a copy that knows something else of a member. */
    public TenureRow withAnswer(MemberKey member, Answer answer) {
        Map<MemberKey, Answer> changed = new LinkedHashMap<>(answers);
        changed.put(member, answer);
        return new TenureRow(group, sinceEpoch, changed, dueMs, askedMs);
    }

    /** Returns a copy without a member. */
    public TenureRow without(MemberKey member) {
        Map<MemberKey, Answer> changed = new LinkedHashMap<>(answers);
        changed.remove(member);
        return new TenureRow(group, sinceEpoch, changed, dueMs, askedMs);
    }
}
