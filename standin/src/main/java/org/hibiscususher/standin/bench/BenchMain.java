package org.hibiscususher.standin.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Runs the experiment and prints a table; a CSV file goes to {@code target/bench.csv}. */
public final class BenchMain {
    private static final Path CSV = Path.of("target", "bench.csv");

    private BenchMain() {}

    /**
     * Runs every scenario whose name begins with one of the arguments, or all of them.
     *
     * <p>An argument that is a number is a seed; without any, seed 1 is used.
     */
    public static void main(String[] args) throws IOException {
        List<Long> seeds = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (String arg : args) {
            if (arg.chars().allMatch(Character::isDigit)) {
                seeds.add(Long.valueOf(arg));
            } else {
                names.add(arg.toUpperCase(Locale.ROOT));
            }
        }
        if (seeds.isEmpty()) {
            seeds.add(1L);
        }
        List<String> csv = new ArrayList<>(List.of(Figures.CSV_HEAD));
        System.out.println(
                "site scenario contender seed: nearness median / worst twentieth, windows,"
                        + " quick wait p50 p99 p99.9 ms, stranded, violations, messages/s/entry");
        for (BenchSite site : BenchSite.values()) {
            for (Scenario scenario : Scenario.values()) {
                if (names.isEmpty() || names.stream().anyMatch(scenario.name()::startsWith)) {
                    seeds.forEach(seed -> run(site, scenario, seed, csv));
                }
            }
        }
        Files.createDirectories(CSV.getParent());
        Files.write(CSV, csv);
    }

    private static void run(BenchSite site, Scenario scenario, long seed, List<String> csv) {
        List<Arrival> arrivals = scenario.arrivals(site, seed);
        for (Contender contender : Contender.values()) {
            Meter meter = new Meter(site, scenario.customers());
            long messages = contender.run(site, scenario, seed, arrivals, meter);
            Figures figures = meter.figures();
            System.out.printf(
                    Locale.ROOT,
                    "%-8s %-22s %-12s %d: %s  %4d%n",
                    site,
                    scenario,
                    contender,
                    seed,
                    figures.text(),
                    messages * 1_000 / Scenario.DURATION_MS / BenchSite.ENTRIES);
            csv.add(
                    String.join(",", site.name(), scenario.name(), contender.name(), "" + seed)
                            + ","
                            + figures.csv()
                            + ","
                            + messages);
        }
    }
}
