package org.hibiscususher.standin.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Compares the allocation methods on every site and scenario.
 *
 * <p>Prints a table and writes the same figures to {@code target/bench.csv}. All methods of a
 * scenario and seed get the same requests.
 */
public final class BenchMain {
    private static final Path CSV = Path.of("target", "bench.csv");

    /** Waiting tasks while the scheduler's ticks are measured. */
    private static final int WAITING_TASKS = 10_000;

    private BenchMain() {}

    /**
     * Runs the benchmark.
     *
     * @param args prefixes of the names of the scenarios to run, in any case, all scenarios if
     *     there are none; {@code tick} measures the scheduler's ticks; arguments of digits only are
     *     seeds, by default seed 1
     */
    public static void main(String[] args) throws IOException {
        List<Long> seeds = new ArrayList<>();
        List<String> prefixes = new ArrayList<>();
        for (String arg : args) {
            if (arg.chars().allMatch(Character::isDigit)) {
                seeds.add(Long.valueOf(arg));
            } else {
                prefixes.add(arg.toUpperCase(Locale.ROOT));
            }
        }
        if (seeds.isEmpty()) {
            seeds.add(1L);
        }
        if (prefixes.remove("TICK")) {
            TickBench.run(WAITING_TASKS);
            if (prefixes.isEmpty()) {
                return;
            }
        }
        List<String> csv = new ArrayList<>(List.of(BenchResult.CSV_HEADER));
        System.out.println(
                "site scenario contender seed: nearness median / worst twentieth, windows,"
                        + " quick wait p50 p99 p99.9 ms, stranded, violations, messages/s/entry");
        for (BenchSite site : BenchSite.values()) {
            for (Scenario scenario : Scenario.values()) {
                if (prefixes.isEmpty() || prefixes.stream().anyMatch(scenario.name()::startsWith)) {
                    seeds.forEach(seed -> run(site, scenario, seed, csv));
                }
            }
        }
        Files.createDirectories(CSV.getParent());
        Files.write(CSV, csv);
    }

    private static void run(BenchSite site, Scenario scenario, long seed, List<String> csv) {
        List<Arrival> arrivals = scenario.arrivals(site, seed);
        for (AllocationMethod method : AllocationMethod.values()) {
            BenchMetrics metrics = new BenchMetrics(site, scenario.customers());
            long messages = method.run(site, scenario, seed, arrivals, metrics);
            BenchResult result = metrics.result();
            System.out.printf(
                    Locale.ROOT,
                    "%-8s %-22s %-12s %d: %s  %4d%n",
                    site,
                    scenario,
                    method,
                    seed,
                    result.text(),
                    messages * 1_000 / Scenario.DURATION_MS / BenchSite.ENTRIES);
            csv.add(
                    String.join(",", site.name(), scenario.name(), method.name(), "" + seed)
                            + ","
                            + result.csv()
                            + ","
                            + messages);
        }
    }
}
