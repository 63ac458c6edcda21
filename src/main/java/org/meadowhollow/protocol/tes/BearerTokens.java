package org.meadowhollow.protocol.tes;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.meadowhollow.protocol.MalformedMessageException;

/**
 * Maps bearer tokens to the teams they belong to. Only the SHA-256 hashes of tokens are kept, and
 * they are compared in constant time.
 */
public final class BearerTokens {
    /**
     * The team of read-only tokens, which may read the tasks of all teams and do nothing else.
     * Workers have such a token.
     */
    public static final String READ_ONLY_TEAM = "*";

    private static final String BEARER_PREFIX = "Bearer ";
    private static final int HASH_BYTES = 32;

    // The warning is about equals of arrays; hashes are compared with MessageDigest.isEqual only.
    @SuppressWarnings("ArrayRecordComponent")
    private record HashedToken(String team, byte[] hash) {}

    private final List<HashedToken> hashedTokens = new ArrayList<>();

    /**
     * Parses the tokens that an operator configures.
     *
     * @param entries each a team's name, {@code =}, and the SHA-256 of a token of that team as 64
     *     hex digits
     * @throws MalformedMessageException if an entry is not of this form; the message names its team
     *     but not its hash
     */
    public static BearerTokens parse(List<String> entries) throws MalformedMessageException {
        BearerTokens tokens = new BearerTokens();
        for (String entry : entries) {
            int separator = entry.lastIndexOf('=');
            String team = separator < 1 ? "" : entry.substring(0, separator);
            byte[] hash;
            try {
                hash = HexFormat.of().parseHex(entry.substring(separator + 1));
            } catch (IllegalArgumentException notHex) {
                hash = new byte[0];
            }
            if (team.isEmpty() || hash.length != HASH_BYTES) {
                throw new MalformedMessageException(
                        "a token is not of the form TEAM=SHA256"
                                + (team.isEmpty() ? "" : " (team " + team + ")"));
            }
            tokens.hashedTokens.add(new HashedToken(team, hash));
        }
        return tokens;
    }

    /** Whether there are no tokens, so that no request is authorised. */
    public boolean isEmpty() {
        return hashedTokens.isEmpty();
    }

    /** Returns the teams that have a token. */
    public List<String> teams() {
        return hashedTokens.stream().map(HashedToken::team).distinct().toList();
    }

    /**
     * Returns the team of the token in an {@code Authorization} header, which may be null. All
     * known tokens are compared even after a match, so that the response time reveals nothing about
     * them.
     */
    public Optional<String> teamOf(String authorization) {
        if (authorization == null
                || !authorization.regionMatches(
                        true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())) {
            return Optional.empty();
        }
        byte[] hash = sha256(authorization.substring(BEARER_PREFIX.length()).trim());
        String team = null;
        for (HashedToken token : hashedTokens) {
            if (MessageDigest.isEqual(token.hash(), hash)) {
                team = token.team();
            }
        }
        return Optional.ofNullable(team);
    }

    static byte[] sha256(String text) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(text.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(
                    "this Java runtime does not support SHA-256", impossible);
        }
    }
}
