package org.hibiscususher.wire.yaml;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.hibiscususher.core.note.Located;
import org.hibiscususher.core.note.SourceLocation;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;

/**
 * A mapping of a YAML file. Readers return a default where a value is missing or wrong, and add a
 * finding; {@link #reportUnknownKeys} adds a finding for each key that was not read. Not
 * thread-safe.
 */
public final class YamlMap {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:.]+]):[0-9]{1,5}");
    private static final int MAX_PORT = 65_535;

    private final Findings mFindings;
    private final SourceLocation mPlace;
    private final Map<String, NodeTuple> mUnread = new LinkedHashMap<>();

    private YamlMap(Findings findings, SourceLocation place) {
        mFindings = findings;
        mPlace = place;
    }

    static YamlMap empty(Findings findings, SourceLocation place) {
        return new YamlMap(findings, place);
    }

    static YamlMap of(Findings findings, MappingNode node) {
        YamlMap map = new YamlMap(findings, findings.placeOf(node.getStartMark()));
        for (NodeTuple tuple : node.getValue()) {
            Node key = tuple.getKeyNode();
            SourceLocation place = findings.placeOf(key.getStartMark());
            if (!(key instanceof ScalarNode scalar)) {
                findings.add(place, "expected a plain key");
            } else if (map.mUnread.putIfAbsent(scalar.getValue(), tuple) != null) {
                findings.add(place, "\"" + scalar.getValue() + "\" stands twice");
            }
        }
        return map;
    }

    /** Returns where the mapping starts. */
    public SourceLocation place() {
        return mPlace;
    }

    /** Adds a finding at the start of the mapping. */
    public void addFinding(String message) {
        mFindings.add(mPlace, message);
    }

    /** Returns whether the key is there and was not read yet. */
    public boolean has(String key) {
        return mUnread.containsKey(key);
    }

    /** Reads a name that must be there: letters, digits, dots, dashes and underscores. */
    public String name(String key) {
        Optional<ScalarNode> node = required(key);
        if (node.isEmpty()) {
            return "?";
        }
        return nameIn(node.get());
    }

    private String nameIn(ScalarNode node) {
        if (!NAME.matcher(node.getValue()).matches()) {
            mFindings.add(
                    mFindings.placeOf(node.getStartMark()),
                    "expected a name of letters, digits, dots, dashes and underscores, found \""
                            + node.getValue()
                            + "\"");
        }
        return node.getValue();
    }

    /** Reads a text that must be there. */
    public String text(String key) {
        return required(key).map(ScalarNode::getValue).orElse("?");
    }

    /** Reads a text, or returns the default if it is not there. */
    public String text(String key, String otherwise) {
        return scalar(key).map(ScalarNode::getValue).orElse(otherwise);
    }

    /** Reads an IP number and port that must be there. */
    public String address(String key) {
        Optional<ScalarNode> node = required(key);
        if (node.isEmpty()) {
            return "0.0.0.0:1";
        }
        String value = node.get().getValue();
        boolean right =
                ADDRESS.matcher(value).matches()
                        && Integer.parseInt(value.substring(value.lastIndexOf(':') + 1))
                                <= MAX_PORT;
        if (!right) {
            mFindings.add(
                    mFindings.placeOf(node.get().getStartMark()),
                    "expected an IP number and port such as 192.0.2.1:8080, found \""
                            + value
                            + "\"");
            return "0.0.0.0:1";
        }
        return value;
    }

    /** Reads a whole number that must be there, between the bounds, both included. */
    public int integer(String key, int min, int max) {
        return required(key).map(n -> integerIn(n, min, max)).orElse(min);
    }

    /** Reads a whole number between the bounds, or returns the default if it is not there. */
    public int integer(String key, int min, int max, int otherwise) {
        return scalar(key).map(n -> integerIn(n, min, max)).orElse(otherwise);
    }

    private int integerIn(ScalarNode node, int min, int max) {
        try {
            int value = Integer.parseInt(node.getValue().replace("_", ""));
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, together with numbers out of bounds.
        }
        mFindings.add(
                mFindings.placeOf(node.getStartMark()),
                "expected a whole number from "
                        + min
                        + " to "
                        + max
                        + ", found \""
                        + node.getValue()
                        + "\"");
        return min;
    }

    /** Reads yes or no, or returns the default if it is not there. */
    public boolean flag(String key, boolean otherwise) {
        Optional<ScalarNode> node = scalar(key);
        if (node.isEmpty()) {
            return otherwise;
        }
        switch (node.get().getValue().toLowerCase(Locale.ROOT)) {
            case "yes", "true":
                return true;
            case "no", "false":
                return false;
            default:
                mFindings.add(
                        mFindings.placeOf(node.get().getStartMark()),
                        "expected yes or no, found \"" + node.get().getValue() + "\"");
                return otherwise;
        }
    }

    /** Reads the name of an enum's constant in lower case, or returns the default. */
    public <E extends Enum<E>> E choice(String key, Class<E> type, E otherwise) {
        Optional<ScalarNode> node = scalar(key);
        if (node.isEmpty()) {
            return otherwise;
        }
        List<String> names = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            String name = constant.name().toLowerCase(Locale.ROOT);
            if (name.equals(node.get().getValue())) {
                return constant;
            }
            names.add(name);
        }
        mFindings.add(
                mFindings.placeOf(node.get().getStartMark()),
                "expected one of " + names + ", found \"" + node.get().getValue() + "\"");
        return otherwise;
    }

    /** Reads a mapping, or returns an empty one if it is not there. */
    public YamlMap map(String key) {
        NodeTuple tuple = mUnread.remove(key);
        if (tuple == null) {
            return empty(mFindings, mPlace);
        }
        if (tuple.getValueNode() instanceof MappingNode node) {
            return of(mFindings, node);
        }
        mFindings.add(mFindings.placeOf(tuple.getValueNode().getStartMark()), "expected a mapping");
        return empty(mFindings, mPlace);
    }

    /** Reads a list of mappings, or returns an empty one if it is not there. */
    public List<YamlMap> maps(String key) {
        List<YamlMap> maps = new ArrayList<>();
        for (Node item : items(key)) {
            if (item instanceof MappingNode node) {
                maps.add(of(mFindings, node));
            } else {
                mFindings.add(mFindings.placeOf(item.getStartMark()), "expected a mapping");
            }
        }
        return maps;
    }

    /** Reads a list of names with their places, or returns an empty one if it is not there. */
    public List<Located<String>> names(String key) {
        List<Located<String>> names = new ArrayList<>();
        for (Node item : items(key)) {
            SourceLocation place = mFindings.placeOf(item.getStartMark());
            if (item instanceof ScalarNode node) {
                names.add(new Located<>(nameIn(node), place));
            } else {
                mFindings.add(place, "expected a name");
            }
        }
        return names;
    }

    private List<Node> items(String key) {
        NodeTuple tuple = mUnread.remove(key);
        if (tuple == null) {
            return List.of();
        }
        if (tuple.getValueNode() instanceof SequenceNode node) {
            return node.getValue();
        }
        mFindings.add(mFindings.placeOf(tuple.getValueNode().getStartMark()), "expected a list");
        return List.of();
    }

    /** Adds a finding for each key that was not read. */
    public void reportUnknownKeys(String... known) {
        for (Map.Entry<String, NodeTuple> entry : mUnread.entrySet()) {
            SourceLocation place = mFindings.placeOf(entry.getValue().getKeyNode().getStartMark());
            mFindings.add(
                    place,
                    "unknown key \""
                            + entry.getKey()
                            + "\"; expected one of "
                            + Arrays.asList(known));
        }
    }

    private Optional<ScalarNode> required(String key) {
        if (!has(key)) {
            addFinding("\"" + key + "\" is missing");
        }
        return scalar(key);
    }

    private Optional<ScalarNode> scalar(String key) {
        NodeTuple tuple = mUnread.remove(key);
        if (tuple == null) {
            return Optional.empty();
        }
        if (tuple.getValueNode() instanceof ScalarNode node && !node.getValue().isEmpty()) {
            return Optional.of(node);
        }
        mFindings.add(
                mFindings.placeOf(tuple.getValueNode().getStartMark()),
                "expected a value for \"" + key + "\"");
        return Optional.empty();
    }
}
