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
 * A mapping of a YAML file, whose values are read by key, each key once.
 *
 * <p>A missing or invalid value adds a finding and yields a placeholder, so that reading continues
 * and one pass finds all errors. The values must not be used if there are findings.
 *
 * <p>After the last value, {@link #reportUnknownKeys} adds a finding for each key that was not
 * read. Without it, a misspelled key would be ignored and its default would apply. Not thread-safe.
 */
public final class YamlMap {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:.]+]):[0-9]{1,5}");
    private static final int MAX_PORT = 65_535;

    private final Findings mFindings;
    private final SourceLocation mLocation;
    private final Map<String, NodeTuple> mUnread = new LinkedHashMap<>();

    private YamlMap(Findings findings, SourceLocation location) {
        mFindings = findings;
        mLocation = location;
    }

    static YamlMap empty(Findings findings, SourceLocation location) {
        return new YamlMap(findings, location);
    }

    static YamlMap of(Findings findings, MappingNode node) {
        YamlMap map = new YamlMap(findings, findings.locationOf(node.getStartMark()));
        for (NodeTuple tuple : node.getValue()) {
            Node key = tuple.getKeyNode();
            SourceLocation location = findings.locationOf(key.getStartMark());
            if (!(key instanceof ScalarNode scalar)) {
                findings.add(location, "expected a scalar as the key");
            } else if (map.mUnread.putIfAbsent(scalar.getValue(), tuple) != null) {
                findings.add(location, "duplicate key \"" + scalar.getValue() + "\"");
            }
        }
        return map;
    }

    /** Returns where the mapping starts. */
    public SourceLocation location() {
        return mLocation;
    }

    /** Adds an error at the start of the mapping. */
    public void addFinding(String message) {
        mFindings.add(mLocation, message);
    }

    /** Returns whether the mapping has the key and it has not been read yet. */
    public boolean has(String key) {
        return mUnread.containsKey(key);
    }

    /**
     * Reads a required name: up to 63 letters, digits, dots, dashes and underscores, of which the
     * first is a letter or digit. An invalid name adds a finding and is returned unchanged.
     */
    public String name(String key) {
        Optional<ScalarNode> node = required(key);
        if (node.isEmpty()) {
            return "?";
        }
        return checkName(node.get());
    }

    private String checkName(ScalarNode node) {
        if (!NAME.matcher(node.getValue()).matches()) {
            mFindings.add(
                    mFindings.locationOf(node.getStartMark()),
                    "expected a name of letters, digits, dots, dashes and underscores, found \""
                            + node.getValue()
                            + "\"");
        }
        return node.getValue();
    }

    /** Reads a required text. */
    public String text(String key) {
        return required(key).map(ScalarNode::getValue).orElse("?");
    }

    /** Reads a text, or returns the default if the key is absent. */
    public String text(String key, String defaultValue) {
        return scalar(key).map(ScalarNode::getValue).orElse(defaultValue);
    }

    /**
     * Reads a required IP number and port, as {@code 192.0.2.1:8080} or {@code [2001:db8::1]:8080}.
     * Host names are invalid.
     */
    public String address(String key) {
        Optional<ScalarNode> node = required(key);
        if (node.isEmpty()) {
            return "0.0.0.0:1";
        }
        String value = node.get().getValue();
        boolean valid =
                ADDRESS.matcher(value).matches()
                        && Integer.parseInt(value.substring(value.lastIndexOf(':') + 1))
                                <= MAX_PORT;
        if (!valid) {
            mFindings.add(
                    mFindings.locationOf(node.get().getStartMark()),
                    "expected an IP number and port such as 192.0.2.1:8080, found \""
                            + value
                            + "\"");
            return "0.0.0.0:1";
        }
        return value;
    }

    /**
     * Reads a required whole number, in which underscores are ignored.
     *
     * @param key key of the number
     * @param min lowest number allowed, returned if the number is missing or invalid
     * @param max highest number allowed
     */
    public int integer(String key, int min, int max) {
        return required(key).map(n -> parseInteger(n, min, max)).orElse(min);
    }

    /**
     * Reads a whole number, in which underscores are ignored.
     *
     * @param key key of the number
     * @param min lowest number allowed, returned if the number is invalid
     * @param max highest number allowed
     * @param defaultValue returned if the key is absent
     */
    public int integer(String key, int min, int max, int defaultValue) {
        return scalar(key).map(n -> parseInteger(n, min, max)).orElse(defaultValue);
    }

    private int parseInteger(ScalarNode node, int min, int max) {
        try {
            int value = Integer.parseInt(node.getValue().replace("_", ""));
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of bounds.
        }
        mFindings.add(
                mFindings.locationOf(node.getStartMark()),
                "expected a whole number from "
                        + min
                        + " to "
                        + max
                        + ", found \""
                        + node.getValue()
                        + "\"");
        return min;
    }

    /**
     * Reads {@code yes}, {@code no}, {@code true} or {@code false} in any case, or returns the
     * default if the key is absent.
     */
    public boolean flag(String key, boolean defaultValue) {
        Optional<ScalarNode> node = scalar(key);
        if (node.isEmpty()) {
            return defaultValue;
        }
        switch (node.get().getValue().toLowerCase(Locale.ROOT)) {
            case "yes", "true":
                return true;
            case "no", "false":
                return false;
            default:
                mFindings.add(
                        mFindings.locationOf(node.get().getStartMark()),
                        "expected yes or no, found \"" + node.get().getValue() + "\"");
                return defaultValue;
        }
    }

    /** Reads the lower-case name of an enum constant; returns the default if the key is absent. */
    public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
        Optional<ScalarNode> node = scalar(key);
        if (node.isEmpty()) {
            return defaultValue;
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
                mFindings.locationOf(node.get().getStartMark()),
                "expected one of " + names + ", found \"" + node.get().getValue() + "\"");
        return defaultValue;
    }

    /** Reads a mapping, or returns an empty one if the key is absent. */
    public YamlMap map(String key) {
        NodeTuple tuple = mUnread.remove(key);
        if (tuple == null) {
            return empty(mFindings, mLocation);
        }
        if (tuple.getValueNode() instanceof MappingNode node) {
            return of(mFindings, node);
        }
        mFindings.add(
                mFindings.locationOf(tuple.getValueNode().getStartMark()), "expected a mapping");
        return empty(mFindings, mLocation);
    }

    /** Reads a list of mappings, or returns an empty one if the key is absent. */
    public List<YamlMap> maps(String key) {
        List<YamlMap> maps = new ArrayList<>();
        for (Node item : sequence(key)) {
            if (item instanceof MappingNode node) {
                maps.add(of(mFindings, node));
            } else {
                mFindings.add(mFindings.locationOf(item.getStartMark()), "expected a mapping");
            }
        }
        return maps;
    }

    /**
     * Reads a list of names, of the form that {@link #name} requires, each with its location;
     * returns an empty list if the key is absent.
     */
    public List<Located<String>> names(String key) {
        List<Located<String>> names = new ArrayList<>();
        for (Node item : sequence(key)) {
            SourceLocation location = mFindings.locationOf(item.getStartMark());
            if (item instanceof ScalarNode node) {
                names.add(new Located<>(checkName(node), location));
            } else {
                mFindings.add(location, "expected a name");
            }
        }
        return names;
    }

    private List<Node> sequence(String key) {
        NodeTuple tuple = mUnread.remove(key);
        if (tuple == null) {
            return List.of();
        }
        if (tuple.getValueNode() instanceof SequenceNode node) {
            return node.getValue();
        }
        mFindings.add(mFindings.locationOf(tuple.getValueNode().getStartMark()), "expected a list");
        return List.of();
    }

    /**
     * Adds an error for each key that has not been read; to be called after the last value.
     *
     * @param known all keys that the mapping may have, for the message
     */
    public void reportUnknownKeys(String... known) {
        for (Map.Entry<String, NodeTuple> entry : mUnread.entrySet()) {
            SourceLocation location =
                    mFindings.locationOf(entry.getValue().getKeyNode().getStartMark());
            mFindings.add(
                    location,
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
                mFindings.locationOf(tuple.getValueNode().getStartMark()),
                "expected a value for \"" + key + "\"");
        return Optional.empty();
    }
}
