package org.hibiscususher.daemon.settings;

import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.wire.yaml.YamlDocument;
import org.hibiscususher.wire.yaml.YamlMap;

/** Reads the daemon's settings from YAML. */
public final class SettingsReader {
    private static final int MAX_DURATION_MS = 60_000;
    private static final int MAX_ATTEMPTS = 10;

    private SettingsReader() {}

    /**
     * Reads settings; a missing key of the control section has its default.
     *
     * @param file name of the file, for the positions of findings
     * @param text content of the file
     * @return settings, and every error in the text rather than the first only
     */
    public static ParsedSettings read(String file, String text) {
        YamlDocument document = YamlDocument.parse(file, text);
        YamlMap root = document.root();
        DaemonSettings settings =
                new DaemonSettings(
                        root.name("member"),
                        root.name("zone"),
                        root.address("callers"),
                        root.address("peers"),
                        root.address("operators"),
                        root.address("platform"),
                        control(root.map("control")));
        root.reportUnknownKeys(
                "member", "zone", "callers", "peers", "operators", "platform", "control");
        return new ParsedSettings(settings, document.findings());
    }

    private static ControlSettings control(YamlMap map) {
        ControlSettings defaults = ControlSettings.DEFAULT;
        ControlSettings read =
                new ControlSettings(
                        map.integer("heartbeat ms", 1, MAX_DURATION_MS, defaults.heartbeatMs()),
                        map.integer("silence ms", 1, MAX_DURATION_MS, defaults.silenceMs()),
                        map.integer("freshness ms", 1, MAX_DURATION_MS, defaults.freshnessMs()),
                        map.integer(
                                "roll-out wait ms", 1, MAX_DURATION_MS, defaults.rollOutWaitMs()),
                        map.integer("attempts at most", 1, MAX_ATTEMPTS, defaults.maxAttempts()),
                        map.integer("pause ms", 1, MAX_DURATION_MS, defaults.pauseMs()),
                        defaults.lendPolicy(),
                        defaults.escrowPolicy());
        map.reportUnknownKeys(
                "heartbeat ms",
                "silence ms",
                "freshness ms",
                "roll-out wait ms",
                "attempts at most",
                "pause ms");
        return read;
    }
}
