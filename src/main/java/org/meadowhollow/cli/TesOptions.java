package org.meadowhollow.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.tes.BearerTokens;

/**
 * Where and how a controller serves the task execution API, from the operator's flags and
 * environment variables.
 *
 * @param certificateFile the certificate's file, or null for plain connections
 * @param privateKeyFile the file of the certificate's key, or null with it
 */
public record TesOptions(
        Settings.Endpoint listen, BearerTokens tokens, Path certificateFile, Path privateKeyFile) {
    /**
     * Holds tokens as the flag takes them, separated by blanks, for hosts on which others can read
     * a command line.
     */
    static final String TOKENS_VARIABLE = "MEADOWHOLLOW_TES_TOKENS";

    /**
     * Checks the flags and variables.
     *
     * @param variables the environment
     * @return null if the API is not to be served
     * @throws Settings.InvalidSettingsException in one line, which names the flag
     */
    static TesOptions parse(
            String listen,
            List<String> tokens,
            Path chain,
            Path key,
            Map<String, String> variables,
            Settings settings)
            throws Settings.InvalidSettingsException {
        List<String> all = new ArrayList<>(tokens);
        Arrays.stream(variables.getOrDefault(TOKENS_VARIABLE, "").split("\\s+"))
                .filter(each -> !each.isEmpty())
                .forEach(all::add);
        if (listen == null) {
            if (!tokens.isEmpty() || chain != null || key != null) {
                throw new Settings.InvalidSettingsException(
                        "--tes-token, --tes-cert and --tes-key go with --tes-listen");
            }
            return null;
        }
        if ((chain == null) != (key == null)) {
            throw new Settings.InvalidSettingsException("--tes-cert and --tes-key go together");
        }
        try {
            BearerTokens known = BearerTokens.parse(all);
            if (known.isEmpty()) {
                throw new Settings.InvalidSettingsException(
                        "--tes-listen needs a --tes-token or " + TOKENS_VARIABLE);
            }
            for (String team : known.teams()) {
                if (!team.equals(BearerTokens.READ_ONLY_TEAM)
                        && !settings.deployment().teamQuotas().containsKey(team)) {
                    throw new Settings.InvalidSettingsException(
                            "--tes-token: there is no team " + team);
                }
            }
            return new TesOptions(
                    Settings.parseEndpoint(listen, "--tes-listen"), known, chain, key);
        } catch (MalformedMessageException wrong) {
            throw new Settings.InvalidSettingsException(wrong.getMessage());
        }
    }
}
