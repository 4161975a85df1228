package org.hibiscususher.core.membership;

import java.util.Collection;
import java.util.Optional;
import org.agrona.collections.Hashing;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;

/**
 * Chooses the member that is responsible for a name, by rendezvous hashing.
 *
 * <p>Every entry with the same epoch of the membership record makes the same choice, without any
 * message. When a member leaves, only the names for which it was responsible change theirs.
 */
public final class RendezvousHash {
    /** Odd constant with well-mixed bits, 2^64 divided by the golden ratio. */
    private static final long SEED = 0x9E3779B97F4A7C15L;

    private RendezvousHash() {}

    /**
     * Returns the id of the member that is responsible for a name, or empty if no member of the
     * record is in a state in which it may allocate.
     *
     * <p>Takes time linear in the number of members.
     */
    public static Optional<String> choose(String name, MembershipRecord record) {
        String best = null;
        long bestScore = 0;
        for (Member member : record.members()) {
            if (!member.state().mayAllocate()) {
                continue;
            }
            long score = score(name, member.id());
            if (best == null || Long.compareUnsigned(score, bestScore) > 0) {
                best = member.id();
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether a member ranks above another for a name.
     *
     * <p>If both may allocate, the other member is not responsible for the name.
     *
     * @param member id of a member
     * @param other id of another member
     * @param name the name
     */
    public static boolean ranksAbove(String member, String other, String name) {
        return Long.compareUnsigned(score(name, member), score(name, other)) > 0;
    }

    /**
     * Returns how many of the given members rank above a member for a name.
     *
     * <p>Takes time linear in the number of members.
     */
    static int rank(String name, String member, Collection<String> others) {
        long memberScore = score(name, member);
        return (int)
                others.stream()
                        .filter(m -> Long.compareUnsigned(score(name, m), memberScore) > 0)
                        .count();
    }

    private static long score(String name, String member) {
        long mixed = SEED;
        for (int i = 0; i < name.length(); i++) {
            mixed = mix(mixed ^ name.charAt(i));
        }
        for (int i = 0; i < member.length(); i++) {
            mixed = mix(mixed ^ member.charAt(i));
        }
        return mixed;
    }

    private static long mix(long value) {
        long mixed = value * SEED;
        return mixed ^ (mixed >>> 32) ^ Hashing.hash(mixed);
    }
}
