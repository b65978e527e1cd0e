package org.redwingladder.settings;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The settings document of one version as an immutable JSON tree, with the version of each subtree.
 *
 * <p>A subtree is {@code /deployment}, owned by the team {@code deployment}, or {@code
 * /teams/TEAM}, owned by that team. Its version is the settings version that last changed it.
 */
public final class SettingsTree {
    private static final String TEAMS = "teams";
    private static final SettingsTree EMPTY =
            new SettingsTree(0, JsonNodeFactory.instance.objectNode(), new TreeMap<>(), null);

    private final long mVersion;
    private final ObjectNode mRoot;
    private final SortedMap<String, Long> mSubtreeVersions;
    private final @Nullable SettingsTree mPrevious;
    private volatile @Nullable Settings mSettings;

    private SettingsTree(
            long version,
            ObjectNode root,
            SortedMap<String, Long> subtreeVersions,
            @Nullable SettingsTree previous) {
        mVersion = version;
        mRoot = root;
        mSubtreeVersions = subtreeVersions;
        mPrevious = previous;
    }

    /** Returns the empty tree, which has version 0. */
    public static SettingsTree empty() {
        return EMPTY;
    }

    /**
     * Returns a tree that consists of {@code subtrees}.
     *
     * @param version the settings version
     * @param subtrees the value of each subtree, by team
     * @param subtreeVersions the version of each subtree, by team
     */
    public static SettingsTree of(
            long version, Map<String, JsonNode> subtrees, Map<String, Long> subtreeVersions) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        subtrees.forEach(
                (team, value) -> {
                    if (team.equals(DeploymentSettings.TEAM)) {
                        root.set(DeploymentSettings.TEAM, value.deepCopy());
                    } else {
                        root.withObjectProperty(TEAMS).set(team, value.deepCopy());
                    }
                });
        return new SettingsTree(version, root, new TreeMap<>(subtreeVersions), null);
    }

    /** Returns the settings version. */
    public long version() {
        return mVersion;
    }

    /** Returns the version of the subtree of {@code team}, or 0 if there never was one. */
    public long subtreeVersion(String team) {
        return mSubtreeVersions.getOrDefault(team, 0L);
    }

    /** Returns the version of each subtree, by team. */
    public SortedMap<String, Long> subtreeVersions() {
        return Collections.unmodifiableSortedMap(mSubtreeVersions);
    }

    /** Returns a copy of the subtree of {@code team}, or null if there is none. */
    public @Nullable JsonNode subtree(String team) {
        return valueAt(rootOf(team));
    }

    /** Returns a copy of the value at {@code path}, or null if there is none. */
    public @Nullable JsonNode valueAt(String path) {
        JsonNode found = mRoot.at(JsonPointer.compile(path));
        return found.isMissingNode() ? null : found.deepCopy();
    }

    /** Returns a copy of the whole document. */
    public ObjectNode document() {
        return mRoot.deepCopy();
    }

    /** Returns all errors of the document. */
    public List<SettingsError> validate() {
        SettingsTree previous = mPrevious;
        return previous == null
                ? SettingsValidator.validate(mRoot)
                : SettingsValidator.validate(mRoot, previous.mRoot);
    }

    /**
     * Returns the settings of this version. Subtrees that a change did not modify are shared with
     * the previous version.
     *
     * @throws SettingsException with all errors if the document is not valid
     */
    public Settings settings() throws SettingsException {
        Settings known = mSettings;
        if (known != null) {
            return known;
        }
        List<SettingsError> errors = validate();
        if (!errors.isEmpty()) {
            throw new SettingsException(errors);
        }
        Settings before = mPrevious == null ? null : mPrevious.mSettings;
        Settings bound =
                before == null
                        ? SettingsCodec.bind(mRoot)
                        : SettingsCodec.bind(mRoot, mPrevious.mRoot, before);
        mSettings = bound;
        return bound;
    }

    /** Returns the path of the subtree that {@code team} owns. */
    public static String rootOf(String team) {
        return team.equals(DeploymentSettings.TEAM)
                ? "/" + DeploymentSettings.TEAM
                : "/" + TEAMS + "/" + team.replace("~", "~0").replace("/", "~1");
    }

    /**
     * Returns the team whose subtree contains {@code path}.
     *
     * @throws SettingsException if no team owns the path
     */
    public static String ownerOf(String path) throws SettingsException {
        JsonPointer pointer = pointer(path);
        String first = pointer.getMatchingProperty();
        if (DeploymentSettings.TEAM.equals(first)) {
            return DeploymentSettings.TEAM;
        }
        JsonPointer rest = pointer.tail();
        if (TEAMS.equals(first) && rest != null && !rest.matches()) {
            return rest.getMatchingProperty();
        }
        throw new SettingsException(
                path, "no team owns this path", "/deployment or /teams/TEAM, or a path below them");
    }

    /**
     * Checks that a team is authorized to change a path.
     *
     * @throws SettingsException if the path is not in the team's subtree
     */
    public static void checkOwner(String path, String team) throws SettingsException {
        if (!ownerOf(path).equals(team)) {
            throw new SettingsException(
                    path,
                    "team " + team + " does not own this path",
                    "a path below " + rootOf(team));
        }
    }

    /**
     * Returns a tree with {@code change} applied to this one.
     *
     * @throws SettingsException if the version does not follow this one, the team does not own the
     *     path, or the path's parent does not exist; the document itself is not validated
     */
    public SettingsTree apply(SettingsChange change) throws SettingsException {
        if (change.version() != mVersion + 1) {
            throw new SettingsException(
                    change.path(),
                    "change " + change.changeId() + " creates version " + change.version(),
                    "version " + (mVersion + 1));
        }
        checkOwner(change.path(), change.team());
        ObjectNode root = replace(mRoot, pointer(change.path()), change.value(), change.path());
        SortedMap<String, Long> versions = new TreeMap<>(mSubtreeVersions);
        versions.put(change.team(), change.version());
        // Validation and conversion reuse only a valid tree, without its own predecessors, which
        // would otherwise be retained.
        SettingsTree previous = mSettings == null ? null : withoutPrevious();
        return new SettingsTree(change.version(), root, versions, previous);
    }

    /**
     * Returns the tree before {@code change}, which created this one. Its subtree versions are
     * unknown and are those of this tree.
     *
     * @throws SettingsException if another change created this tree
     */
    SettingsTree revert(SettingsChange change) throws SettingsException {
        if (change.version() != mVersion) {
            throw new SettingsException(
                    change.path(),
                    "change " + change.changeId() + " created version " + change.version(),
                    "version " + mVersion);
        }
        ObjectNode root = replace(mRoot, pointer(change.path()), change.previous(), change.path());
        SettingsTree previous = mSettings == null ? null : withoutPrevious();
        return new SettingsTree(mVersion - 1, root, mSubtreeVersions, previous);
    }

    private SettingsTree withoutPrevious() {
        SettingsTree copy = new SettingsTree(mVersion, mRoot, mSubtreeVersions, null);
        copy.mSettings = mSettings;
        return copy;
    }

    /**
     * Replaces the value at {@code pointer} in a copy. Copies only the objects on the path and
     * shares the rest, so that the cost does not depend on the size of other teams' subtrees.
     */
    private static ObjectNode replace(
            ObjectNode node, JsonPointer pointer, @Nullable JsonNode value, String path)
            throws SettingsException {
        ObjectNode copy = JsonNodeFactory.instance.objectNode();
        copy.setAll(node);
        String name = pointer.getMatchingProperty();
        JsonPointer rest = pointer.tail();
        if (rest.matches()) {
            if (value == null) {
                copy.remove(name);
            } else {
                copy.set(name, value);
            }
            return copy;
        }
        JsonNode child = node.get(name);
        if (child == null && (name.equals(TEAMS) && rest.tail().matches())) {
            child = JsonNodeFactory.instance.objectNode();
        }
        if (!(child instanceof ObjectNode object)) {
            throw new SettingsException(
                    path, "there is no object \"" + name + "\" on this path", "an existing parent");
        }
        copy.set(name, replace(object, rest, value, path));
        return copy;
    }

    private static JsonPointer pointer(String path) throws SettingsException {
        try {
            return JsonPointer.compile(path);
        } catch (IllegalArgumentException e) {
            throw new SettingsException(
                    path, "not a JSON pointer", "a path that starts with / such as /teams/TEAM");
        }
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof SettingsTree t
                && mVersion == t.mVersion
                && mRoot.equals(t.mRoot)
                && mSubtreeVersions.equals(t.mSubtreeVersions);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(mVersion);
    }

    @Override
    public String toString() {
        return "settings version " + mVersion;
    }
}
