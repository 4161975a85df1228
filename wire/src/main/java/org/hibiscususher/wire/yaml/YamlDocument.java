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

/** A YAML file that is read as a whole: every finding is collected with its place. */
public final class YamlDocument {
    private static final int MAX_CODE_POINTS = 16 * 1024 * 1024;

    private final Findings mFindings;
    private final YamlMap mRoot;

    private YamlDocument(Findings findings, YamlMap root) {
        mFindings = findings;
        mRoot = root;
    }

    /**
     * Parses a text.
     *
     * @param file name for the findings
     * @param text the text; one that is not YAML, or not a mapping, gives a finding
     */
    public static YamlDocument parse(String file, String text) {
        Findings findings = new Findings(file);
        LoadSettings settings =
                LoadSettings.builder()
                        .setLabel(file)
                        .setCodePointLimit(MAX_CODE_POINTS)
                        .setMaxAliasesForCollections(0)
                        .build();
        try {
            Optional<Node> node = new Compose(settings).composeString(text);
            if (node.isPresent() && node.get() instanceof MappingNode map) {
                return new YamlDocument(findings, YamlMap.of(findings, map));
            }
            findings.add(new SourceLocation(file, 1, 1), "expected a mapping of keys to values");
        } catch (MarkedYamlEngineException e) {
            findings.add(findings.placeOf(e.getProblemMark()), "not YAML: " + e.getProblem());
        } catch (YamlEngineException e) {
            findings.add(new SourceLocation(file, 1, 1), "not YAML: " + e.getMessage());
        }
        return new YamlDocument(findings, YamlMap.empty(findings, new SourceLocation(file, 1, 1)));
    }

    /** Returns the mapping at the top; empty if the text has none. */
    public YamlMap root() {
        return mRoot;
    }

    /** Returns what was found so far. */
    public List<Finding> findings() {
        return mFindings.list();
    }
}
