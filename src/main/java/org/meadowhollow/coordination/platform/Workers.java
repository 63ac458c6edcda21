package org.meadowhollow.coordination.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.bookkeeping.Order;
import org.meadowhollow.bookkeeping.Report;
import org.meadowhollow.bookkeeping.Session;
import org.meadowhollow.bookkeeping.Term;

/**
 * The way straight to the workers. Starts never go this way, for a delayed one would come minutes
 * late.
 */
public interface Workers {
    /** Sends orders; the worker's report comes back whether or not they were executed. */
    CompletableFuture<Report> send(String address, Term token, Session session, List<Order> orders);
}
