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
 * Carries out one operator's put: checks the team's key, validates the document that it would make,
 * and commits it if the team's subtree is still as the operator saw it.
 */
final class SettingsPut {
    /** Another team's change moves the head between read and commit; then the put goes on. */
    private static final int MAX_ATTEMPTS = 8;

    private final SettingsReplicator mDriver;
    private final SettingsStore mStore;
    private final Request mRequest;

    /**
     * Holds what an operator asks for.
     *
     * @param path the path to replace
     * @param value the new value, or null to remove it
     * @param subtreeVersion the version of the subtree that the operator saw
     * @param changeId the operator's name for the change
     * @param team the operator's team
     * @param teamKey the team's key
     * @param author who asks
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

    /** Tells what became of a put. */
    sealed interface Outcome {
        /** Tells that the change is accepted as {@code version}. */
        record Accepted(long version) implements Outcome {}

        /** Tells that another change came first; {@code won} is null if it could not be read. */
        record Conflict(long subtreeVersion, @Nullable SettingsChange won) implements Outcome {}

        /** Tells that the document would not be valid. */
        record Invalid(List<SettingsError> errors) implements Outcome {}

        /** Tells that the team's name or key is wrong. */
        record Forbidden(String message) implements Outcome {}

        /** Tells that the change id can no longer be accepted. */
        record Settled(String message) implements Outcome {}

        /** Tells that nothing was written. */
        record NotRun(String message) implements Outcome {}

        /** Tells that the change may have been accepted. */
        record Unknown(String message) implements Outcome {}
    }

    private SettingsPut(SettingsReplicator driver, Request request) {
        mDriver = driver;
        mStore = driver.store();
        mRequest = request;
    }

    /** Carries out {@code request}; the future never fails. */
    static CompletableFuture<Outcome> run(SettingsReplicator driver, Request request) {
        return new SettingsPut(driver, request)
                .attempt(1)
                .exceptionally(failure -> new Outcome.NotRun(String.valueOf(failure.getMessage())));
    }

    private CompletableFuture<Outcome> attempt(int number) {
        return mStore.id(mRequest.changeId())
                .thenCompose(
                        id ->
                                id.row() > 0
                                        ? done(known(id))
                                        : mStore.head().thenCompose(head -> follow(head, number)));
    }

    private static Outcome known(SettingsStore.IdRow id) {
        return id.version() > 0
                ? new Outcome.Accepted(id.version())
                : new Outcome.Settled("the change id was settled as not accepted; use a new one");
    }

    private CompletableFuture<Outcome> follow(SettingsStore.Head head, int number) {
        return mDriver.catchUp(head)
                .thenCompose(
                        tree -> {
                            if (tree.version() != head.version()) {
                                // The read was stale: this process knows a later version.
                                return again(number, "the platform shows an old version");
                            }
                            return put(head, tree, number);
                        });
    }

    private CompletableFuture<Outcome> put(SettingsStore.Head head, SettingsTree tree, int number) {
        String team = mRequest.team();
        String forbidden = forbidden(tree);
        if (forbidden != null) {
            return done(new Outcome.Forbidden(forbidden));
        }
        try {
            SettingsTree.checkOwner(mRequest.path(), team);
        } catch (SettingsException e) {
            return done(new Outcome.Invalid(e.errors()));
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
                        valueBefore(tree));
        SettingsTree next;
        try {
            next = tree.apply(change);
            next.settings();
        } catch (SettingsException e) {
            return done(new Outcome.Invalid(e.errors()));
        }
        String transactionId = "settings-" + UUID.randomUUID();
        return mStore.subtreeRow(team)
                .thenCompose(row -> mStore.commit(transactionId, head, row, change, next))
                .thenCompose(result -> committed(result, change, number));
    }

    private @Nullable JsonNode valueBefore(SettingsTree tree) {
        try {
            return tree.valueAt(mRequest.path());
        } catch (IllegalArgumentException e) {
            // Applying the change reports the malformed path.
            return null;
        }
    }

    private CompletableFuture<Outcome> committed(
            TransactionResult result, SettingsChange change, int number) {
        return switch (result) {
            case TransactionResult.Committed committed -> {
                mDriver.committed(change);
                yield done(new Outcome.Accepted(change.version()));
            }
            case TransactionResult.Conflict conflict ->
                    again(number, "other changes kept coming first");
            case TransactionResult.Unknown unknown -> readBack(unknown.message());
        };
    }

    /** Finds out what became of a commit whose answer was lost. */
    private CompletableFuture<Outcome> readBack(String message) {
        Outcome unknown = new Outcome.Unknown("the platform's answer was lost: " + message);
        return mStore.id(mRequest.changeId())
                .handle((id, failure) -> id != null && id.row() > 0 ? known(id) : unknown);
    }

    private CompletableFuture<Outcome> again(int number, String message) {
        return number >= MAX_ATTEMPTS ? done(new Outcome.NotRun(message)) : attempt(number + 1);
    }

    private CompletableFuture<Outcome> conflict(long subtreeVersion) {
        return mStore.change(subtreeVersion)
                .handle(
                        (change, failure) ->
                                new Outcome.Conflict(
                                        subtreeVersion,
                                        change == null ? null : change.orElse(null)));
    }

    /** Returns why the operator may not speak for the team, or null if it may. */
    private @Nullable String forbidden(SettingsTree tree) {
        JsonNode key =
                tree.valueAt(
                        "/deployment/teams/"
                                + mRequest.team().replace("~", "~0").replace("/", "~1"));
        if (tree.version() == 0
                && mRequest.team().equals(DeploymentSettings.TEAM)
                && mRequest.path().equals("/" + DeploymentSettings.TEAM)
                && mRequest.value() != null) {
            // The first put states the key that it is checked with.
            key = mRequest.value().path("teams").path(DeploymentSettings.TEAM);
        }
        if (key == null) {
            return "unknown team " + mRequest.team();
        }
        byte[] expected = key.path("keySha256").asText().getBytes(UTF_8);
        return MessageDigest.isEqual(expected, sha256(mRequest.teamKey()).getBytes(UTF_8))
                ? null
                : "the key is not the key of team " + mRequest.team();
    }

    static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the JDK lacks SHA-256", e);
        }
    }

    private static CompletableFuture<Outcome> done(Outcome outcome) {
        return CompletableFuture.completedFuture(outcome);
    }
}
