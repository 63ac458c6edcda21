package org.meadowhollow.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.Resources;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;

/**
 * The platform's settings file, checked.
 *
 * @param clockSkewBound the most that the time of day may be off on either side, zero if the file
 *     does not say
 * @param zone that this node is in, empty if the file does not say
 * @param fileDescriptorLimit how many sockets and files the process may have open, 0 if the file
 *     does not say
 */
public record Settings(
        Endpoint publicEndpoint,
        Endpoint peerEndpoint,
        Map<String, String> peerAddresses,
        String cloudAddress,
        String storeAddress,
        String zone,
        int fileDescriptorLimit,
        DeploymentSettings deployment,
        Duration clockSkewBound) {

    /** An address of this machine. */
    public record Endpoint(String host, int port) {}

    /** The settings cannot be used; the text says why. */
    public static final class InvalidSettingsException extends Exception {
        InvalidSettingsException(String reason) {
            super(reason);
        }
    }

    /**
     * Reads and checks a settings file.
     *
     * @throws InvalidSettingsException in one line, if it cannot be read or used
     */
    public static Settings read(Path file) throws InvalidSettingsException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException unreadable) {
            throw new InvalidSettingsException("cannot read the settings file " + file);
        }
        try {
            return of(new MessageReader(JsonCodec.decode(bytes)));
        } catch (MalformedMessageException wrong) {
            throw new InvalidSettingsException(file + ": " + wrong.getMessage());
        }
    }

    private static Settings of(MessageReader file) throws MalformedMessageException {
        Map<String, String> peers = new LinkedHashMap<>();
        for (MessageReader peer : file.nestedList("known")) {
            peers.put(peer.string("member"), requireAddress(peer.string("addr"), "known"));
        }
        MessageReader external = file.nested("external");
        Endpoint listen = parseEndpoint(file.string("listen"), "listen");
        Endpoint back = parseEndpoint(file.string("back"), "back");
        return new Settings(
                listen,
                back,
                peers,
                requireAddress(external.string("cloud"), "cloud"),
                requireAddress(external.string("state"), "state"),
                Objects.requireNonNullElse(file.stringOrNull("area"), ""),
                fileDescriptorLimit(file.nested("settings")),
                deployment(file.string("member"), file.nested("settings")),
                Duration.ofNanos(
                        (long) (file.nested("settings").nonNegativeDoubleOr("skew_ms", 0) * 1e6)));
    }

    private static int fileDescriptorLimit(MessageReader settings)
            throws MalformedMessageException {
        return settings.has("quota") && settings.nested("quota").has("fd_limit")
                ? (int)
                        Math.min(
                                Integer.MAX_VALUE,
                                positiveNumber(settings.nested("quota"), "fd_limit"))
                : 0;
    }

    private static DeploymentSettings deployment(String member, MessageReader settings)
            throws MalformedMessageException {
        List<String> zones = settings.stringListOrNull("zones");
        MessageReader workers = settings.nested("workers");
        MessageReader state = settings.nested("state");
        MessageReader cloud = settings.nested("cloud");
        Duration lease = positiveSeconds(workers, "lease_s");
        Duration cancel = positiveSeconds(workers, "cancel_s");
        if (cancel.compareTo(lease) <= 0) {
            throw new MalformedMessageException("cancel_s must be longer than lease_s");
        }
        return new DeploymentSettings(
                member,
                zones == null ? List.of() : zones,
                teamQuotas(settings),
                objectives(settings),
                positiveSeconds(workers, "report_s"),
                lease,
                positiveSeconds(workers, "gang_wait_s"),
                cancel,
                positiveNumber(state, "rps"),
                positiveNumber(state, "write_rps"),
                (int) (positiveNumber(state, "value_kb") * 1024),
                (int) positiveNumber(state, "txn_ops"),
                positiveNumber(cloud, "rps"),
                positiveSeconds(cloud, "list_lag_s"));
    }

    private static Map<String, DeploymentSettings.TeamQuota> teamQuotas(MessageReader settings)
            throws MalformedMessageException {
        Map<String, DeploymentSettings.TeamQuota> teams = new LinkedHashMap<>();
        for (MessageReader team : settings.nestedList("teams")) {
            teams.put(
                    team.string("name"),
                    new DeploymentSettings.TeamQuota(
                            team.string("name"),
                            Resources.of(
                                    team.nonNegativeDoubleOr("cpus", 0),
                                    team.nonNegativeDoubleOr("gpus", 0),
                                    0),
                            Resources.of(
                                    team.nonNegativeDoubleOr("cpus_max", 0),
                                    team.nonNegativeDoubleOr("gpus_max", 0),
                                    0)));
        }
        return teams;
    }

    private static List<DeploymentSettings.ServiceLevelTarget> objectives(MessageReader settings)
            throws MalformedMessageException {
        List<DeploymentSettings.ServiceLevelTarget> objectives = new ArrayList<>();
        for (MessageReader objective : settings.nestedList("objectives")) {
            objectives.add(
                    new DeploymentSettings.ServiceLevelTarget(
                            objective.string("kind"),
                            objective.stringOrNull("class"),
                            objective.nonNegativeDoubleOr("within_s", Double.NaN)));
        }
        return objectives;
    }

    private static Duration positiveSeconds(MessageReader section, String key)
            throws MalformedMessageException {
        return Duration.ofNanos((long) (positiveNumber(section, key) * 1e9));
    }

    private static double positiveNumber(MessageReader section, String key)
            throws MalformedMessageException {
        double amount = section.nonNegativeDouble(key);
        if (amount <= 0) {
            throw new MalformedMessageException(key + " must be above 0");
        }
        return amount;
    }

    private static String requireAddress(String text, String key) throws MalformedMessageException {
        parseEndpoint(text, key);
        return text;
    }

    static Endpoint parseEndpoint(String text, String key) throws MalformedMessageException {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port < 65536) {
                return new Endpoint(text.substring(0, colon), port);
            }
        } catch (NumberFormatException notANumber) {
            // Falls through to the one message for every wrong address.
        }
        throw new MalformedMessageException(key + " is not an address of the form host:port");
    }
}
