package org.hibiscususher.core.membership;

import java.util.Collection;
import java.util.Optional;
import org.agrona.collections.Hashing;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.StoreRecord.MembershipRecord;

/** Chooses a member for a name by rendezvous hashing, the same on every entry of an epoch. */
public final class RendezvousHash {
    private static final long SEED = 0x9E3779B97F4A7C15L;

    private RendezvousHash() {}

    /**
     * Returns the id of the member that is responsible for a name, or empty if none may allocate.
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
     * Returns whether a member comes before another in the order for a name.
     *
     * <p>If both may allocate, the one that comes later is not responsible for the name.
     */
    public static boolean ranksAbove(String member, String other, String name) {
        return Long.compareUnsigned(score(name, member), score(name, other)) > 0;
    }

    /**
     * Returns how many of the given members come before a member in the order for a name.
     *
     * <p>Takes time linear in the number of members.
     */
    static int rank(String name, String member, Collection<String> others) {
        long own = score(name, member);
        return (int)
                others.stream().filter(m -> Long.compareUnsigned(score(name, m), own) > 0).count();
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
