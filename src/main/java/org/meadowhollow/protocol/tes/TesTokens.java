package org.meadowhollow.protocol.tes;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.meadowhollow.protocol.Malformed;

/**
 * Which team a bearer token belongs to. Tokens are known by their SHA-256 only, and compared in
 * constant time.
 */
public final class TesTokens {
    /**
     * Whoever has a token of this team may read the tasks of all teams and do nothing else; workers
     * do.
     */
    public static final String READERS = "*";

    private static final String BEARER = "Bearer ";
    private static final int HASH_BYTES = 32;

    private record Known(String team, byte[] hash) {}

    private final List<Known> known = new ArrayList<>();

    /**
     * @param entries each a team's name, {@code =}, and the SHA-256 of a token of that team as 64
     *     hex digits
     * @throws Malformed naming the entry that is not of this form, without its hash
     */
    public static TesTokens of(List<String> entries) throws Malformed {
        TesTokens tokens = new TesTokens();
        for (String entry : entries) {
            int equals = entry.lastIndexOf('=');
            String team = equals < 1 ? "" : entry.substring(0, equals);
            byte[] hash;
            try {
                hash = HexFormat.of().parseHex(entry.substring(equals + 1));
            } catch (IllegalArgumentException notHex) {
                hash = new byte[0];
            }
            if (team.isEmpty() || hash.length != HASH_BYTES) {
                throw new Malformed(
                        "a token is not of the form TEAM=SHA256"
                                + (team.isEmpty() ? "" : " (team " + team + ")"));
            }
            tokens.known.add(new Known(team, hash));
        }
        return tokens;
    }

    public boolean isEmpty() {
        return known.isEmpty();
    }

    /** The teams that have a token. */
    public List<String> teams() {
        return known.stream().map(Known::team).distinct().toList();
    }

    /**
     * The team of an {@code Authorization} header, which may be null. All known tokens are
     * compared, whichever fits, so that the time it takes tells nothing.
     */
    public Optional<String> teamOf(String authorization) {
        if (authorization == null
                || !authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return Optional.empty();
        }
        byte[] hash = sha256(authorization.substring(BEARER.length()).trim());
        String team = null;
        for (Known each : known) {
            if (MessageDigest.isEqual(each.hash(), hash)) {
                team = each.team();
            }
        }
        return Optional.ofNullable(team);
    }

    static byte[] sha256(String text) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(text.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("every Java has SHA-256", impossible);
        }
    }
}
