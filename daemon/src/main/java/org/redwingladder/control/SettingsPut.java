package org.redwingladder.control;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.redwingladder.platform.TransactionResult;
import org.redwingladder.settings.DeploymentSettings;
import org.redwingladder.settings.SettingsChange;
import org.redwingladder.settings.SettingsError;
import org.redwingladder.settings.SettingsException;
import org.redwingladder.settings.SettingsTree;

/**
 * One operator's put of a settings value: checks the team's key, validates the resulting document
 * and commits it with optimistic concurrency control on the version of the team's subtree.
 */
final class SettingsPut {
    /** A concurrent change of another team moves the head, and the commit is retried. */
    private static final int MAX_ATTEMPTS = 8;

    private final SettingsReplicator mReplicator;
    private final SettingsStore mStore;
    private final Request mRequest;

    /**
     * Parameters of a put.
     *
     * @param path the JSON pointer of the value to replace
     * @param value the new value; null removes it
     * @param subtreeVersion the version of the team's subtree that the operator has read
     * @param changeId the id that the operator has given to the change
     * @param team the operator's team
     * @param teamKey the team's key
     * @param author the address of the operator
     * @param now the current time in epoch milliseconds
     */
    record Request(
            String path,
            @Nullable JsonNode value,
            long subtreeVersion,
            String changeId,
            String team,
            String teamKey,
            String author,
            long now) {}

    /** Result of a put. */
    sealed interface Outcome {
        /** The change was accepted as {@code version}, now or by an earlier put with its id. */
        record Accepted(long version) implements Outcome {}

        /** A concurrent change was accepted first; {@code won} is null if its read failed. */
        record Conflict(long subtreeVersion, @Nullable SettingsChange won) implements Outcome {}

        /** The resulting document would be invalid. */
        record Invalid(List<SettingsError> errors) implements Outcome {}

        /** The team or its key is wrong. */
        record Forbidden(String message) implements Outcome {}

        /** The change id was recorded as not accepted and can no longer be used. */
        record ChangeIdRevoked(String message) implements Outcome {}

        /** Nothing was written. */
        record NotRun(String message) implements Outcome {}

        /** The change may or may not have been accepted. */
        record Unknown(String message) implements Outcome {}
    }

    private SettingsPut(SettingsReplicator replicator, Request request) {
        mReplicator = replicator;
        mStore = replicator.store();
        mRequest = request;
    }

    /** Executes {@code request}; the future never fails. */
    static CompletableFuture<Outcome> run(SettingsReplicator replicator, Request request) {
        return new SettingsPut(replicator, request)
                .attempt(1)
                .exceptionally(failure -> new Outcome.NotRun(String.valueOf(failure.getMessage())));
    }

    private CompletableFuture<Outcome> attempt(int number) {
        return mStore.changeId(mRequest.changeId())
                .thenCompose(
                        id ->
                                id.rowVersion() > 0
                                        ? completed(recordedOutcome(id))
                                        : mStore.head()
                                                .thenCompose(head -> putAfter(head, number)));
    }

    private static Outcome recordedOutcome(SettingsStore.ChangeIdRow id) {
        return id.version() > 0
                ? new Outcome.Accepted(id.version())
                : new Outcome.ChangeIdRevoked(
                        "the change id is recorded as not accepted; use a new change id");
    }

    private CompletableFuture<Outcome> putAfter(SettingsStore.Head head, int number) {
        return mReplicator
                .catchUp(head)
                .thenCompose(
                        tree -> {
                            if (tree.version() != head.version()) {
                                // The read was stale: this process already knows a newer version.
                                return retry(number, "the platform returned a stale version");
                            }
                            return put(head, tree, number);
                        });
    }

    private CompletableFuture<Outcome> put(SettingsStore.Head head, SettingsTree tree, int number) {
        String team = mRequest.team();
        String error = authorizationError(tree);
        if (error != null) {
            return completed(new Outcome.Forbidden(error));
        }
        try {
            SettingsTree.checkOwner(mRequest.path(), team);
        } catch (SettingsException e) {
            return completed(new Outcome.Invalid(e.errors()));
        }
        if (tree.subtreeVersion(team) != mRequest.subtreeVersion()) {
            return conflict(tree.subtreeVersion(team));
        }
        SettingsChange change =
                new SettingsChange(
                        tree.version() + 1,
                        mRequest.changeId(),
                        team,
                        mRequest.path(),
                        mRequest.value(),
                        mRequest.author(),
                        mRequest.now(),
                        currentValue(tree));
        SettingsTree next;
        try {
            next = tree.apply(change);
            next.settings();
        } catch (SettingsException e) {
            return completed(new Outcome.Invalid(e.errors()));
        }
        String transactionId = "settings-" + UUID.randomUUID();
        return mStore.subtreeRowVersion(team)
                .thenCompose(row -> mStore.commit(transactionId, head, row, change, next))
                .thenCompose(result -> onCommitResult(result, change, number));
    }

    private @Nullable JsonNode currentValue(SettingsTree tree) {
        try {
            return tree.valueAt(mRequest.path());
        } catch (IllegalArgumentException e) {
            // Applying the change reports the malformed path.
            return null;
        }
    }

    private CompletableFuture<Outcome> onCommitResult(
            TransactionResult result, SettingsChange change, int number) {
        return switch (result) {
            case TransactionResult.Committed committed -> {
                mReplicator.changeCommitted(change);
                yield completed(new Outcome.Accepted(change.version()));
            }
            case TransactionResult.Conflict conflict ->
                    retry(number, "concurrent changes were committed first in every attempt");
            case TransactionResult.Unknown unknown -> readBackChangeId(unknown.message());
        };
    }

    /** Reads the change id back after the response to a commit was lost. */
    private CompletableFuture<Outcome> readBackChangeId(String message) {
        Outcome unknown = new Outcome.Unknown("the platform's response was lost: " + message);
        return mStore.changeId(mRequest.changeId())
                .handle(
                        (id, failure) ->
                                id != null && id.rowVersion() > 0 ? recordedOutcome(id) : unknown);
    }

    private CompletableFuture<Outcome> retry(int number, String message) {
        return number >= MAX_ATTEMPTS
                ? completed(new Outcome.NotRun(message))
                : attempt(number + 1);
    }

    private CompletableFuture<Outcome> conflict(long subtreeVersion) {
        return mStore.change(subtreeVersion)
                .handle(
                        (change, failure) ->
                                new Outcome.Conflict(
                                        subtreeVersion,
                                        change == null ? null : change.orElse(null)));
    }

    /** Returns why the operator is not authorized for the team; null if it is. */
    private @Nullable String authorizationError(SettingsTree tree) {
        JsonNode key =
                tree.valueAt(
                        "/deployment/teams/"
                                + mRequest.team().replace("~", "~0").replace("/", "~1"));
        if (tree.version() == 0
                && mRequest.team().equals(DeploymentSettings.TEAM)
                && mRequest.path().equals("/" + DeploymentSettings.TEAM)
                && mRequest.value() != null) {
            // The first put is checked against the key that it contains itself.
            key = mRequest.value().path("teams").path(DeploymentSettings.TEAM);
        }
        if (key == null) {
            return "unknown team " + mRequest.team();
        }
        byte[] expected = key.path("keySha256").asText().getBytes(UTF_8);
        return MessageDigest.isEqual(expected, sha256Hex(mRequest.teamKey()).getBytes(UTF_8))
                ? null
                : "wrong key for team " + mRequest.team();
    }

    static String sha256Hex(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the JDK lacks SHA-256", e);
        }
    }

    private static CompletableFuture<Outcome> completed(Outcome outcome) {
        return CompletableFuture.completedFuture(outcome);
    }
}
