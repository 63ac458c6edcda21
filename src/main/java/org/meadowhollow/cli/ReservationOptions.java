package org.meadowhollow.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.reservation.ReservationApi;
import org.meadowhollow.protocol.tes.BearerTokens;

/**
 * The options of the operators' API for reservations and maintenance windows, from the flags and
 * environment variables of a controller.
 *
 * @param listenEndpoint the address that the API is served on
 * @param tokens the operators' bearer tokens
 * @param certificateChainFile the certificate's file, or null for connections without TLS
 * @param privateKeyFile the file of the certificate's key; null if there is no certificate
 * @param maxMachines the number of machines that reservations may count on at a time, by {@code
 *     type/zone} or type
 */
public record ReservationOptions(
        Settings.Endpoint listenEndpoint,
        BearerTokens tokens,
        Path certificateChainFile,
        Path privateKeyFile,
        Map<String, Integer> maxMachines) {
    /**
     * The environment variable with tokens in the form of the flag, separated by blanks. On shared
     * hosts, other users can read the command line.
     */
    static final String TOKENS_VARIABLE = "MEADOWHOLLOW_CALENDAR_TOKENS";

    /**
     * Parses and validates the values of the flags.
     *
     * @param listen the value of {@code --calendar-listen}, or null
     * @param tokenFlags the values of {@code --calendar-token}
     * @param certificateChain the value of {@code --calendar-cert}, or null
     * @param privateKey the value of {@code --calendar-key}, or null
     * @param maxMachineFlags the values of {@code --calendar-most}
     * @param environment the environment variables
     * @return the options, or null if the API is not served
     * @throws Settings.InvalidSettingsException with a one-line message that names the flag
     */
    static ReservationOptions fromFlags(
            String listen,
            List<String> tokenFlags,
            Path certificateChain,
            Path privateKey,
            List<String> maxMachineFlags,
            Map<String, String> environment)
            throws Settings.InvalidSettingsException {
        if (listen == null) {
            if (!tokenFlags.isEmpty()
                    || certificateChain != null
                    || privateKey != null
                    || !maxMachineFlags.isEmpty()) {
                throw new Settings.InvalidSettingsException(
                        "--calendar-token, --calendar-cert, --calendar-key and --calendar-most need"
                                + " --calendar-listen");
            }
            return null;
        }
        if ((certificateChain == null) != (privateKey == null)) {
            throw new Settings.InvalidSettingsException(
                    "--calendar-cert and --calendar-key must be given together");
        }
        try {
            BearerTokens tokens = parseTokens(tokenFlags, environment);
            return new ReservationOptions(
                    Settings.parseEndpoint(listen, "--calendar-listen"),
                    tokens,
                    certificateChain,
                    privateKey,
                    parseMaxMachines(maxMachineFlags));
        } catch (MalformedMessageException invalid) {
            throw new Settings.InvalidSettingsException(invalid.getMessage());
        }
    }

    private static BearerTokens parseTokens(
            List<String> tokenFlags, Map<String, String> environment)
            throws Settings.InvalidSettingsException, MalformedMessageException {
        List<String> entries = new ArrayList<>(tokenFlags);
        Arrays.stream(environment.getOrDefault(TOKENS_VARIABLE, "").split("\\s+"))
                .filter(entry -> !entry.isEmpty())
                .forEach(entries::add);
        BearerTokens tokens = BearerTokens.parse(entries);
        if (tokens.isEmpty()) {
            throw new Settings.InvalidSettingsException(
                    "--calendar-listen needs a --calendar-token or " + TOKENS_VARIABLE);
        }
        for (String holder : tokens.teams()) {
            if (!holder.equals(ReservationApi.OPERATOR)
                    && !holder.equals(BearerTokens.READ_ONLY_TEAM)) {
                throw new Settings.InvalidSettingsException(
                        "--calendar-token is for neither "
                                + ReservationApi.OPERATOR
                                + " nor "
                                + BearerTokens.READ_ONLY_TEAM);
            }
        }
        return tokens;
    }

    private static Map<String, Integer> parseMaxMachines(List<String> entries)
            throws Settings.InvalidSettingsException {
        Map<String, Integer> maxMachines = new HashMap<>();
        for (String entry : entries) {
            int separator = entry.lastIndexOf('=');
            try {
                int count = Integer.parseInt(entry.substring(separator + 1));
                if (separator > 0 && count >= 0) {
                    maxMachines.put(entry.substring(0, separator), count);
                    continue;
                }
            } catch (NumberFormatException notANumber) {
                // Reported below, with the same message as a negative number.
            }
            throw new Settings.InvalidSettingsException(
                    "--calendar-most is not of the form TYPE=N or TYPE/ZONE=N");
        }
        return maxMachines;
    }
}
