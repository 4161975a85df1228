package org.hibiscususher.core.note;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.ConfigurationDelta;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.config.QueueSpec;

/** Checks a configuration across its declarations; places findings in the note that made it. */
final class ConsistencyChecker {
    private final Configuration mBefore;
    private final Configuration mAfter;
    private final ConfigurationDelta mDelta;
    private final Map<String, SourceLocation> mPlaces;
    private final Set<String> mWithdrawn;
    private final SourceLocation mNotePlace;
    private final List<Finding> mFindings = new ArrayList<>();

    private ConsistencyChecker(
            ReleaseNote note,
            Configuration before,
            Configuration after,
            Map<String, SourceLocation> places,
            Set<String> withdrawn) {
        mBefore = before;
        mAfter = after;
        mDelta = ConfigurationDelta.between(before, after);
        mPlaces = places;
        mWithdrawn = withdrawn;
        String file =
                places.values().stream().findFirst().map(SourceLocation::file).orElse(note.id());
        mNotePlace = new SourceLocation(file, 1, 1);
    }

    /**
     * Checks a configuration; takes linear time.
     *
     * @param note the note that leads to it
     * @param before the configuration that the note applies to
     * @param after the configuration that results
     * @param places places of what the note names, by type and id
     * @param withdrawn what the note withdraws, by type and id
     */
    static List<Finding> check(
            ReleaseNote note,
            Configuration before,
            Configuration after,
            Map<String, SourceLocation> places,
            Set<String> withdrawn) {
        ConsistencyChecker checker = new ConsistencyChecker(note, before, after, places, withdrawn);
        checker.checkNotEmpty();
        checker.checkHosts();
        checker.checkKeys();
        checker.checkQueues();
        checker.checkPools();
        return checker.mFindings;
    }

    private void checkNotEmpty() {
        if (mPlaces.isEmpty()) {
            error(
                    mNotePlace,
                    "the note names nothing; expected \"added\", \"changed\" or \"withdrawn\"");
        }
    }

    private void checkHosts() {
        Map<String, String> addresses = new LinkedHashMap<>();
        for (HostSpec host : mAfter.hosts().values()) {
            String name = "host " + host.id();
            require(mAfter.pools(), "pool", host.pool(), name);
            String other = addresses.putIfAbsent(host.address(), host.id());
            if (other != null) {
                error(
                        placeOf(name, "host " + other),
                        "hosts "
                                + other
                                + " and "
                                + host.id()
                                + " have the same address "
                                + host.address()
                                + "; expected one host per address");
            }
        }
    }

    private void checkKeys() {
        Map<KeyDigest, String> digests = new LinkedHashMap<>();
        for (KeySpec key : mAfter.keys().values()) {
            String name = "key " + key.id();
            require(mAfter.teams(), "team", key.team(), name);
            String other = digests.putIfAbsent(key.digest(), key.id());
            if (other != null) {
                error(
                        placeOf(name, "key " + other),
                        "keys "
                                + other
                                + " and "
                                + key.id()
                                + " have the same digest; expected a secret of its own for each");
            }
        }
    }

    private void checkQueues() {
        Set<String> served = new LinkedHashSet<>();
        mAfter.hosts().values().forEach(h -> served.add(h.pool()));
        for (QueueSpec queue : mAfter.queues().values()) {
            String name = "queue " + queue.id();
            require(mAfter.pools(), "pool", queue.pool(), name);
            queue.openTeam().ifPresent(t -> require(mAfter.teams(), "team", t, name));
            boolean touched =
                    mPlaces.containsKey(name) || mPlaces.containsKey("pool " + queue.pool());
            if (touched && !served.contains(queue.pool())) {
                warn(
                        placeOf(name, "pool " + queue.pool()),
                        name + " runs on pool " + queue.pool() + ", which has no host yet");
            }
        }
    }

    private void checkPools() {
        Map<String, List<HostSpec>> hosts = new LinkedHashMap<>();
        for (HostSpec host : mAfter.hosts().values()) {
            hosts.computeIfAbsent(host.pool(), p -> new ArrayList<>()).add(host);
        }
        Set<String> touched = poolsTouched();
        for (PoolSpec pool : mAfter.pools().values()) {
            if (touched.contains(pool.id())) {
                checkPool(pool, hosts.getOrDefault(pool.id(), List.of()));
            }
        }
    }

    /** Returns the pools that the note changes, or whose hosts it changes. */
    private Set<String> poolsTouched() {
        Set<String> touched = new LinkedHashSet<>();
        mDelta.pools().put().forEach(p -> touched.add(p.id()));
        for (HostSpec host : mDelta.hosts().put()) {
            touched.add(host.pool());
            addPoolBefore(touched, host.id());
        }
        mDelta.hosts().removed().forEach(id -> addPoolBefore(touched, id));
        return touched;
    }

    private void addPoolBefore(Set<String> touched, String hostId) {
        HostSpec before = mBefore.hosts().get(hostId);
        if (before != null) {
            touched.add(before.pool());
        }
    }

    private void checkPool(PoolSpec pool, List<HostSpec> hosts) {
        SourceLocation place = placeOf("pool " + pool.id());
        int out = pool.budget().maxUnavailable();
        int outPerZone = pool.budget().maxUnavailablePerZone();
        if (outPerZone > out) {
            error(
                    place,
                    "pool "
                            + pool.id()
                            + " may have "
                            + outPerZone
                            + " hosts out per zone and "
                            + out
                            + " in all; expected no more per zone than in all");
        }
        if (hosts.isEmpty()) {
            return;
        }
        if (hosts.size() == 1) {
            warn(place, "pool " + pool.id() + " has one host; its maintenance stops the pool");
        } else if (out >= hosts.size()) {
            error(
                    place,
                    "pool "
                            + pool.id()
                            + " has "
                            + hosts.size()
                            + " hosts and may have "
                            + out
                            + " out; expected "
                            + (hosts.size() - 1)
                            + " out at most");
        }
        checkZones(pool, hosts, place);
        int slots = hosts.stream().mapToInt(HostSpec::slots).sum();
        if (pool.quickReserve() >= slots) {
            error(
                    place,
                    "pool "
                            + pool.id()
                            + " keeps "
                            + pool.quickReserve()
                            + " slots for quick work and has "
                            + slots
                            + "; expected fewer than it has");
        }
    }

    private void checkZones(PoolSpec pool, List<HostSpec> hosts, SourceLocation place) {
        SortedMap<String, Integer> zones = new TreeMap<>();
        hosts.forEach(h -> zones.merge(h.zone(), 1, Integer::sum));
        int outPerZone = pool.budget().maxUnavailablePerZone();
        zones.forEach(
                (zone, n) -> {
                    if (n > 1 && outPerZone >= n) {
                        warn(
                                place,
                                "pool "
                                        + pool.id()
                                        + " may have all its "
                                        + n
                                        + " hosts in zone "
                                        + zone
                                        + " out at a time");
                    }
                });
    }

    private void require(SortedMap<String, ?> known, String type, String id, String user) {
        if (known.containsKey(id)) {
            return;
        }
        String used = type + " " + id;
        if (mWithdrawn.contains(used)) {
            error(placeOf(used), used + " is withdrawn, but " + user + " still needs it");
        } else {
            error(placeOf(user), user + " needs " + used + ", which is not declared");
        }
    }

    private SourceLocation placeOf(String... names) {
        for (String name : names) {
            SourceLocation place = mPlaces.get(name);
            if (place != null) {
                return place;
            }
        }
        return mNotePlace;
    }

    private void error(SourceLocation place, String message) {
        mFindings.add(new Finding(place, message));
    }

    private void warn(SourceLocation place, String message) {
        mFindings.add(new Finding(place, Severity.WARNING, message));
    }
}
