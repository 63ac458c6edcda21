package org.meadowhollow.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.meadowhollow.protocol.Malformed;
import org.meadowhollow.protocol.tes.TesTokens;

/**
 * Where and how a controller serves the task execution API, as its operator's flags and variables
 * say.
 *
 * @param chain the certificate's file, or null for plain connections
 * @param key the file of the certificate's key, or null with it
 */
public record TesOptions(Settings.Endpoint listen, TesTokens tokens, Path chain, Path key) {
    /**
     * Holds tokens like the flag, separated by blanks, where a command line could be read by
     * others.
     */
    static final String TOKENS = "MEADOWHOLLOW_TES_TOKENS";

    /**
     * Checks what the operator gave.
     *
     * @param variables the environment
     * @return null if the API is not to be served
     * @throws Settings.Unusable in one line, which names the flag
     */
    static TesOptions of(
            String listen,
            List<String> tokens,
            Path chain,
            Path key,
            Map<String, String> variables,
            Settings settings)
            throws Settings.Unusable {
        List<String> all = new ArrayList<>(tokens);
        Arrays.stream(variables.getOrDefault(TOKENS, "").split("\\s+"))
                .filter(each -> !each.isEmpty())
                .forEach(all::add);
        if (listen == null) {
            if (!tokens.isEmpty() || chain != null || key != null) {
                throw new Settings.Unusable(
                        "--tes-token, --tes-cert and --tes-key go with --tes-listen");
            }
            return null;
        }
        if ((chain == null) != (key == null)) {
            throw new Settings.Unusable("--tes-cert and --tes-key go together");
        }
        try {
            TesTokens known = TesTokens.of(all);
            if (known.isEmpty()) {
                throw new Settings.Unusable("--tes-listen needs a --tes-token or " + TOKENS);
            }
            for (String team : known.teams()) {
                if (!team.equals(TesTokens.READERS)
                        && !settings.platform().teamQuotas().containsKey(team)) {
                    throw new Settings.Unusable("--tes-token: there is no team " + team);
                }
            }
            return new TesOptions(Settings.endpoint(listen, "--tes-listen"), known, chain, key);
        } catch (Malformed wrong) {
            throw new Settings.Unusable(wrong.getMessage());
        }
    }
}
