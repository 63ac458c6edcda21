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
 * Where a controller takes reservations and windows, and what there is to reserve, as its
 * operator's flags say.
 *
 * @param certificateChainFile the certificate's file, or null for plain connections
 * @param privateKeyFile the file of the certificate's key, or null with it
 * @param maxMachines machines that the operators will have at a time, by {@code type/zone} or type
 */
public record ReservationOptions(
        Settings.Endpoint listenEndpoint,
        BearerTokens tokens,
        Path certificateChainFile,
        Path privateKeyFile,
        Map<String, Integer> maxMachines) {
    /**
     * Holds tokens like the flag, separated by blanks, where a command line could be read by
     * others.
     */
    static final String TOKENS_VARIABLE = "MEADOWHOLLOW_CALENDAR_TOKENS";

    /**
     * Checks what the operator gave.
     *
     * @param variables the environment
     * @return null if there is to be no calendar
     * @throws Settings.InvalidSettingsException in one line, which names the flag
     */
    static ReservationOptions fromFlags(
            String listen,
            List<String> tokens,
            Path chain,
            Path key,
            List<String> most,
            Map<String, String> variables)
            throws Settings.InvalidSettingsException {
        if (listen == null) {
            if (!tokens.isEmpty() || chain != null || key != null || !most.isEmpty()) {
                throw new Settings.InvalidSettingsException(
                        "--calendar-token, --calendar-cert, --calendar-key and --calendar-most go"
                                + " with --calendar-listen");
            }
            return null;
        }
        if ((chain == null) != (key == null)) {
            throw new Settings.InvalidSettingsException(
                    "--calendar-cert and --calendar-key go together");
        }
        List<String> all = new ArrayList<>(tokens);
        Arrays.stream(variables.getOrDefault(TOKENS_VARIABLE, "").split("\\s+"))
                .filter(each -> !each.isEmpty())
                .forEach(all::add);
        try {
            BearerTokens known = BearerTokens.parse(all);
            if (known.isEmpty()) {
                throw new Settings.InvalidSettingsException(
                        "--calendar-listen needs a --calendar-token or " + TOKENS_VARIABLE);
            }
            for (String name : known.teams()) {
                if (!name.equals(ReservationApi.OPERATOR)
                        && !name.equals(BearerTokens.READ_ONLY_TEAM)) {
                    throw new Settings.InvalidSettingsException(
                            "--calendar-token is for neither "
                                    + ReservationApi.OPERATOR
                                    + " nor "
                                    + BearerTokens.READ_ONLY_TEAM);
                }
            }
            return new ReservationOptions(
                    Settings.parseEndpoint(listen, "--calendar-listen"),
                    known,
                    chain,
                    key,
                    maxMachines(most));
        } catch (MalformedMessageException wrong) {
            throw new Settings.InvalidSettingsException(wrong.getMessage());
        }
    }

    private static Map<String, Integer> maxMachines(List<String> entries)
            throws Settings.InvalidSettingsException {
        Map<String, Integer> most = new HashMap<>();
        for (String entry : entries) {
            int equals = entry.lastIndexOf('=');
            try {
                int count = Integer.parseInt(entry.substring(equals + 1));
                if (equals > 0 && count >= 0) {
                    most.put(entry.substring(0, equals), count);
                    continue;
                }
            } catch (NumberFormatException notANumber) {
                // One message for every wrong entry.
            }
            throw new Settings.InvalidSettingsException(
                    "--calendar-most is not of the form TYPE=N or TYPE/ZONE=N");
        }
        return most;
    }
}
