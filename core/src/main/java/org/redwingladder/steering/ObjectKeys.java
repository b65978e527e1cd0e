package org.redwingladder.steering;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.jspecify.annotations.Nullable;

/** Bounds the length of object keys, which clients choose and which hosts keep in caches. */
public final class ObjectKeys {
    /** The longest key that is used as it is. */
    static final int MAX_CHARACTERS = 64;

    private ObjectKeys() {}

    /** Returns a key that is equal for equal keys; a long one is replaced by its SHA-256 hash. */
    public static @Nullable String bounded(@Nullable String key) {
        return key == null || key.length() <= MAX_CHARACTERS ? key : hash(key);
    }

    private static String hash(String key) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getBytes(UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("each Java runtime has SHA-256", e);
        }
    }
}
