package org.redwingladder.once;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Signs tokens with HMAC-SHA256 and verifies their signatures. Thread-safe. */
public final class TokenSigner {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MAX_TOKEN_LENGTH = 1024;

    private final SecretKeySpec mKey;

    private TokenSigner(SecretKeySpec key) {
        mKey = key;
    }

    /**
     * Returns a signer with the given HMAC key.
     *
     * @throws IllegalArgumentException if the key is shorter than 16 bytes
     */
    public static TokenSigner of(byte[] key) {
        if (key.length < 16) {
            throw new IllegalArgumentException(
                    "token key has " + key.length + " bytes; allowed: 16 or more");
        }
        return new TokenSigner(new SecretKeySpec(key, ALGORITHM));
    }

    /** Encodes and signs {@code token}, in the form PAYLOAD.SIGNATURE, both in base64url. */
    public String sign(SingleUseToken token) {
        String payload =
                String.join(
                        "\n",
                        token.host(),
                        Long.toString(token.incarnation()),
                        Long.toString(token.number()),
                        token.service(),
                        Long.toString(token.expiresAt()));
        byte[] bytes = payload.getBytes(StandardCharsets.UTF_8);
        Base64.Encoder encoder = Base64.getUrlEncoder().withoutPadding();
        return encoder.encodeToString(bytes) + "." + encoder.encodeToString(mac(bytes));
    }

    /**
     * Verifies the signature of {@code text} and returns its token.
     *
     * @throws InvalidTokenException if the text is malformed or the signature is invalid
     */
    public SingleUseToken verify(String text) throws InvalidTokenException {
        int dot = text.indexOf('.');
        if (dot < 0 || text.length() > MAX_TOKEN_LENGTH) {
            throw new InvalidTokenException("the token is not of the form PAYLOAD.SIGNATURE");
        }
        byte[] payload;
        byte[] signature;
        try {
            payload = Base64.getUrlDecoder().decode(text.substring(0, dot));
            signature = Base64.getUrlDecoder().decode(text.substring(dot + 1));
        } catch (IllegalArgumentException e) {
            throw new InvalidTokenException("the token is not valid base64url");
        }
        if (!MessageDigest.isEqual(signature, mac(payload))) {
            throw new InvalidTokenException(
                    "the token is not signed with the key of this deployment");
        }
        String[] fields = new String(payload, StandardCharsets.UTF_8).split("\n", -1);
        if (fields.length != 5) {
            throw new InvalidTokenException(
                    "the token has " + fields.length + " fields; allowed: 5");
        }
        try {
            return new SingleUseToken(
                    fields[0],
                    Long.parseLong(fields[1]),
                    Long.parseLong(fields[2]),
                    fields[3],
                    Long.parseLong(fields[4]));
        } catch (NumberFormatException e) {
            throw new InvalidTokenException("the token contains a malformed number");
        }
    }

    private byte[] mac(byte[] payload) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(mKey);
            return mac.doFinal(payload);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the JDK does not support " + ALGORITHM, e);
        }
    }
}
