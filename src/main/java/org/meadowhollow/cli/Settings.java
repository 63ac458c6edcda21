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
 * The validated content of the platform's settings file.
 *
 * @param zone the zone of this node, empty if the file does not set it
 * @param fileDescriptorLimit the number of sockets and files that the process may have open, 0 if
 *     the file does not set it
 * @param memoryLimitBytes the memory that the process may take, 128 MiB if the file does not set it
 * @param clockSkewBound the largest error of the wall clock in either direction, zero if the file
 *     does not set it
 */
public record Settings(
        Endpoint publicEndpoint,
        Endpoint peerEndpoint,
        Map<String, String> peerAddresses,
        String cloudAddress,
        String storeAddress,
        String zone,
        int fileDescriptorLimit,
        long memoryLimitBytes,
        DeploymentSettings deployment,
        Duration clockSkewBound) {

    private static final double DEFAULT_MEMORY_MEBIBYTES = 128;

    /** No controller runs with less, and shares of the memory must hold whole messages. */
    private static final double MIN_MEMORY_MEBIBYTES = 64;

    private static final double BYTES_PER_MEBIBYTE = 1024 * 1024;

    /** An address that this node listens on. */
    public record Endpoint(String host, int port) {}

    /** Thrown if settings or flags are invalid; the message is one line for the operator. */
    public static final class InvalidSettingsException extends Exception {
        InvalidSettingsException(String reason) {
            super(reason);
        }
    }

    /**
     * Reads and checks a settings file.
     *
     * @throws InvalidSettingsException with a one-line message, if the file is unreadable or
     *     invalid
     */
    public static Settings read(Path file) throws InvalidSettingsException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException unreadable) {
            throw new InvalidSettingsException("cannot read the settings file " + file);
        }
        try {
            return parse(new MessageReader(JsonCodec.decode(bytes)));
        } catch (MalformedMessageException wrong) {
            throw new InvalidSettingsException(file + ": " + wrong.getMessage());
        }
    }

    private static Settings parse(MessageReader file) throws MalformedMessageException {
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
                memoryLimitBytes(file.nested("settings")),
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

    private static long memoryLimitBytes(MessageReader settings) throws MalformedMessageException {
        double mebibytes =
                settings.has("quota") && settings.nested("quota").has("mem_mb")
                        ? positiveNumber(settings.nested("quota"), "mem_mb")
                        : DEFAULT_MEMORY_MEBIBYTES;
        return (long) (Math.max(MIN_MEMORY_MEBIBYTES, mebibytes) * BYTES_PER_MEBIBYTE);
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
            // Reported below, with the same message as every other invalid address.
        }
        throw new MalformedMessageException(key + " is not an address of the form host:port");
    }
}
