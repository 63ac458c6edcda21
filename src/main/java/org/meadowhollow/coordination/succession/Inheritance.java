package org.meadowhollow.coordination.succession;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.bookkeeping.Moment;
import org.meadowhollow.bookkeeping.RecordImage;
import org.meadowhollow.bookkeeping.Report;
import org.meadowhollow.bookkeeping.Version;
import org.meadowhollow.coordination.placement.RiskTable;

/** What a standby hands to the leadership that begins on its node. Guarded by the leader's lock. */
public final class Inheritance {
    /** Of a node that followed nothing. */
    public static final Inheritance NONE = new Inheritance(Map.of(), new TableCopies());
    /** Machines that the last leader heard of within this time, before it ended, are likely to report again. */
    private static final Duration LIKELY = Standby.PULL.multipliedBy(3);

    private final Map<String, RecordFollower> followers;
    private final TableCopies copies;
    private int tables;

    Inheritance(Map<String, RecordFollower> followers, TableCopies copies) {
        this.followers = followers;
        this.copies = copies;
    }

    /** Whether anything was followed, so that a leader need not begin from nothing. */
    public boolean isWarm() {
        return !followers.isEmpty();
    }

    /**
     * The records by prefix, each with all changes up to a revision and maybe more; empty if one of the images is
     * missing, older than that, or of another history than the one that is served.
     */
    public CompletableFuture<Optional<Map<String, RecordImage>>> records(Version atLeast) {
        List<CompletableFuture<Optional<RecordImage>>> images = followers.values().stream()
                .map(follower -> follower.handOver(atLeast)).toList();
        return CompletableFuture.allOf(images.toArray(CompletableFuture[]::new)).thenApply(unused -> {
            Map<String, RecordImage> byPrefix = new TreeMap<>();
            images.forEach(image -> image.join().ifPresent(each -> byPrefix.put(each.prefix(), each)));
            return byPrefix.isEmpty() || byPrefix.size() < followers.size() ? Optional.empty() : Optional.of(byPrefix);
        });
    }

    /** The table of a machine whose first report has come, if what is there is of the machine as it is now. */
    public Optional<RiskTable> table(Report report, Moment now) {
        Optional<RiskTable> table = copies.inherit(report, now);
        tables += table.isPresent() ? 1 : 0;
        return table;
    }

    /** Tables that were handed over so far. */
    public int tables() {
        return tables;
    }

    /** Machines that the last leader heard of lately, and whose first report has not come here yet. */
    public int awaited(Moment now) {
        return copies.heardWithin(LIKELY, now);
    }
}
