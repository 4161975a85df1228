package org.hibiscususher.wire.yaml;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.note.Finding;
import org.hibiscususher.core.note.SourceLocation;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;

/**
 * A parsed YAML file. Errors are collected as findings with line and column rather than thrown, so
 * that the author sees all of them at once. Not thread-safe.
 */
public final class YamlDocument {
    private static final int MAX_CODE_POINTS = 16 * 1024 * 1024;

    private final Findings mFindings;
    private final YamlMap mRoot;

    private YamlDocument(Findings findings, YamlMap root) {
        mFindings = findings;
        mRoot = root;
    }

    /**
     * Parses YAML. Text that is not valid YAML, or whose top level is not a mapping, yields a
     * finding and an empty mapping.
     *
     * @param file name of the file, for the findings
     * @param text content of the file
     */
    public static YamlDocument parse(String file, String text) {
        Findings findings = new Findings(file);
        LoadSettings settings =
                LoadSettings.builder()
                        .setLabel(file)
                        .setCodePointLimit(MAX_CODE_POINTS)
                        // Nested aliases would let a small file describe a huge document.
                        .setMaxAliasesForCollections(0)
                        .build();
        try {
            Optional<Node> node = new Compose(settings).composeString(text);
            if (node.isPresent() && node.get() instanceof MappingNode map) {
                return new YamlDocument(findings, YamlMap.of(findings, map));
            }
            findings.add(new SourceLocation(file, 1, 1), "expected a mapping of keys to values");
        } catch (MarkedYamlEngineException e) {
            findings.add(
                    findings.locationOf(e.getProblemMark()), "invalid YAML: " + e.getProblem());
        } catch (YamlEngineException e) {
            findings.add(new SourceLocation(file, 1, 1), "invalid YAML: " + e.getMessage());
        }
        return new YamlDocument(findings, YamlMap.empty(findings, new SourceLocation(file, 1, 1)));
    }

    /** Returns the mapping at the top level; empty if the text has none. */
    public YamlMap root() {
        return mRoot;
    }

    /** Returns the findings so far, in order of line and column. */
    public List<Finding> findings() {
        return mFindings.list();
    }
}
