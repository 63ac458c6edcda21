package org.meadowhollow.bookkeeping;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A rented machine as the leader knows it. */
public final class Machine {
    /** An exit whose record is not in the state service yet; only then may the worker forget it. */
    public record Settling(Attempt attempt, Chunk chunk, long change) {
        public boolean isSaved() {
            return chunk.isSaved(change) || chunk.job().ended();
        }
    }

    private JobId heldFor;
    private Moment heldUntil;
    private final MachineId id;
    private final MachineType type;
    private final String zone;
    private final boolean spot;
    private String address;
    private Session session;
    private long seq = -1;
    private Term shown = Term.NONE;
    private Moment knownSince;
    private Moment listedAt;
    private Moment heardAt;
    private Moment answeredAt;
    private Moment noticeEndsAt;
    private boolean draining;
    private boolean begunAnew;
    private boolean releasing;
    private Moment idleSince;
    private final List<Placement> placements = new ArrayList<>();
    private final Map<TaskId, Settling> settling = new Object2ObjectOpenHashMap<>();
    private final Set<TaskId> strays = new HashSet<>();
    private final ImageCache images;
    private int lostSinceReport;

    public Machine(MachineId id, MachineType type, String zone, boolean spot) {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.images = new ImageCache(type.cacheGb());
    }

    public MachineId id() {
        return id;
    }

    public MachineType type() {
        return type;
    }

    public String zone() {
        return zone;
    }

    public boolean spot() {
        return spot;
    }

    public String address() {
        return address;
    }

    public void address(String known) {
        address = known;
    }

    /** The session last reported, or null before the first report. */
    public Session session() {
        return session;
    }

    public long seq() {
        return seq;
    }

    public void reported(Report report) {
        session = report.session();
        seq = report.seq();
        if (report.token().isAfter(shown)) {
            shown = report.token();
        }
    }

    /** The highest token that the worker has shown. */
    public Term shown() {
        return shown;
    }

    /** When this leader first knew of the machine, by the cloud's list or by a report. */
    public Moment knownSince() {
        return knownSince;
    }

    public void knownSince(Moment now) {
        knownSince = now;
    }

    /** When the cloud's list last named the machine, or null. */
    public Moment listedAt() {
        return listedAt;
    }

    public void listed(Moment now) {
        listedAt = now;
    }

    /**
     * When the last news came of the machine, by a report or by an answer to a direct command, or
     * null.
     */
    public Moment heardAt() {
        return heardAt;
    }

    /**
     * When the last report arrived that this leader answered, or null; only that renews the
     * worker's lease.
     */
    public Moment answeredAt() {
        return answeredAt;
    }

    public void answered(Moment now) {
        answeredAt = now;
        heardAt = now;
    }

    public void heard(Moment now) {
        heardAt = now;
    }

    public Moment noticeEndsAt() {
        return noticeEndsAt;
    }

    public void noticeEndsAt(Moment end) {
        noticeEndsAt = end;
    }

    /** Whether nothing more is placed here. */
    public boolean draining() {
        return draining || releasing;
    }

    public void drain() {
        draining = true;
    }

    /**
     * The machine is in another life than the one whose numbers were taken in; it takes no more
     * tasks.
     */
    public void beginsAnew() {
        begunAnew = true;
        draining = true;
    }

    /**
     * Whether it is to be returned with all that may be on it, since its reports cannot be told
     * from late copies.
     */
    public boolean begunAnew() {
        return begunAnew;
    }

    public boolean releasing() {
        return releasing;
    }

    public void releasing(boolean now) {
        releasing = now;
    }

    public Moment idleSince() {
        return idleSince;
    }

    public void idleSince(Moment since) {
        idleSince = since;
    }

    public List<Placement> placements() {
        return placements;
    }

    public Map<TaskId, Settling> settling() {
        return settling;
    }

    /**
     * Tasks on the machine that no record knows of; they are being stopped and count until they are
     * gone.
     */
    public Set<TaskId> strays() {
        return strays;
    }

    public ImageCache images() {
        return images;
    }

    public void lost(int tasks) {
        lostSinceReport += tasks;
    }

    /** The tasks lost since the last call. */
    public int takeLost() {
        int lost = lostSinceReport;
        lostSinceReport = 0;
        return lost;
    }

    public Resources booked() {
        Resources sum = Resources.NONE;
        for (Placement placement : placements) {
            sum = sum.plus(placement.job().spec().perTask());
        }
        return sum;
    }

    /** Whether something of everything is free. */
    public boolean hasRoom() {
        Resources free = free();
        Resources room = type.room();
        return (free.cpu() > 0 || room.cpu() == 0)
                && (free.gpu() > 0 || room.gpu() == 0)
                && (free.memory() > 0 || room.memory() == 0);
    }

    public Resources free() {
        return type.room().minus(booked());
    }

    /** Keeps what is free here for a gang for which it was cleared. */
    public void holdFor(JobId job, Moment until) {
        heldFor = job;
        heldUntil = until;
    }

    /** The gang that what is free here is kept for, or null. */
    public JobId heldFor(Moment now) {
        return heldFor != null && now.isBefore(heldUntil) ? heldFor : null;
    }
}
