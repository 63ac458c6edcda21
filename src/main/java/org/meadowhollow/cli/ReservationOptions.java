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
 * Where a controller serves the operators' interface to reservations and maintenance windows, and
 * the limits of the reservable capacity, as its flags say.
 *
 * @param certificateChainFile the certificate's file, or null for connections without TLS
 * @param privateKeyFile the file of the certificate's key; null if there is no certificate
 * @param maxMachines machines that the operators will have at a time, by {@code type/zone} or type
 */
public record ReservationOptions(
        Settings.Endpoint listenEndpoint,
        BearerTokens tokens,
        Path certificateChainFile,
        Path privateKeyFile,
        Map<String, Integer> maxMachines) {
    /** Tokens as in the flag, separated by blanks: others could read a command line. */
    static final String TOKENS_VARIABLE = "MEADOWHOLLOW_CALENDAR_TOKENS";

    /**
     * Checks the values of the flags.
     *
     * @param listen of {@code --calendar-listen}, or null
     * @param tokenFlags of {@code --calendar-token}
     * @param certificateChain of {@code --calendar-cert}, or null
     * @param privateKey of {@code --calendar-key}, or null
     * @param maxMachineFlags of {@code --calendar-most}
     * @param environment the environment variables
     * @return null if the interface is not served
     * @throws Settings.InvalidSettingsException in one line, which names the flag
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
                        "--calendar-token, --calendar-cert, --calendar-key and --calendar-most go"
                                + " with --calendar-listen");
            }
            return null;
        }
        if ((certificateChain == null) != (privateKey == null)) {
            throw new Settings.InvalidSettingsException(
                    "--calendar-cert and --calendar-key go together");
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
                // The same message as for a negative number.
            }
            throw new Settings.InvalidSettingsException(
                    "--calendar-most is not of the form TYPE=N or TYPE/ZONE=N");
        }
        return maxMachines;
    }
}
