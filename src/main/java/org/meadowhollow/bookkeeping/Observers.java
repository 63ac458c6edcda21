package org.meadowhollow.bookkeeping;

/** Those who are told what happens to jobs, and who change nothing by it. */
public record Observers(OrderLog order, TaskTraces traces) {
    public static final Observers NONE = new Observers(OrderLog.NONE, TaskTraces.NONE);
}
