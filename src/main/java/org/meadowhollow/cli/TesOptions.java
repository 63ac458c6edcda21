package org.meadowhollow.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.tes.BearerTokens;

/**
 * The options of the GA4GH task execution API, from the flags and environment variables of a
 * controller.
 *
 * @param listenEndpoint the address that the API is served on
 * @param tokens the teams' bearer tokens
 * @param certificateChainFile the certificate's file, or null for connections without TLS
 * @param privateKeyFile the file of the certificate's key; null if there is no certificate
 */
public record TesOptions(
        Settings.Endpoint listenEndpoint,
        BearerTokens tokens,
        Path certificateChainFile,
        Path privateKeyFile) {
    /**
     * The environment variable with tokens in the form of the flag, separated by blanks, for hosts
     * on which other users can read the command line.
     */
    static final String TOKENS_VARIABLE = "MEADOWHOLLOW_TES_TOKENS";

    /**
     * Parses and validates the flags and environment variables.
     *
     * @param listen the value of {@code --tes-listen}, or null
     * @param tokens the values of {@code --tes-token}
     * @param certificateChain the value of {@code --tes-cert}, or null
     * @param privateKey the value of {@code --tes-key}, or null
     * @param environment the environment variables
     * @param settings the settings file, whose teams may have tokens
     * @return the options, or null if the API is not served
     * @throws Settings.InvalidSettingsException with a one-line message that names the flag
     */
    static TesOptions parse(
            String listen,
            List<String> tokens,
            Path certificateChain,
            Path privateKey,
            Map<String, String> environment,
            Settings settings)
            throws Settings.InvalidSettingsException {
        List<String> entries = new ArrayList<>(tokens);
        Arrays.stream(environment.getOrDefault(TOKENS_VARIABLE, "").split("\\s+"))
                .filter(entry -> !entry.isEmpty())
                .forEach(entries::add);
        if (listen == null) {
            if (!tokens.isEmpty() || certificateChain != null || privateKey != null) {
                throw new Settings.InvalidSettingsException(
                        "--tes-token, --tes-cert and --tes-key need --tes-listen");
            }
            return null;
        }
        if ((certificateChain == null) != (privateKey == null)) {
            throw new Settings.InvalidSettingsException(
                    "--tes-cert and --tes-key must be given together");
        }
        try {
            BearerTokens parsedTokens = BearerTokens.parse(entries);
            if (parsedTokens.isEmpty()) {
                throw new Settings.InvalidSettingsException(
                        "--tes-listen needs a --tes-token or " + TOKENS_VARIABLE);
            }
            for (String team : parsedTokens.teams()) {
                if (!team.equals(BearerTokens.READ_ONLY_TEAM)
                        && !settings.deployment().teamQuotas().containsKey(team)) {
                    throw new Settings.InvalidSettingsException(
                            "--tes-token: there is no team " + team);
                }
            }
            return new TesOptions(
                    Settings.parseEndpoint(listen, "--tes-listen"),
                    parsedTokens,
                    certificateChain,
                    privateKey);
        } catch (MalformedMessageException wrong) {
            throw new Settings.InvalidSettingsException(wrong.getMessage());
        }
    }
}
