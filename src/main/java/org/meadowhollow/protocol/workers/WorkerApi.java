package org.meadowhollow.protocol.workers;

import java.util.function.Function;
import org.meadowhollow.bookkeeping.Report;
import org.meadowhollow.coordination.Answer;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.Malformed;

/** Takes workers' reports and answers them. */
public final class WorkerApi {
    private final Function<Report, Answer> reports;

    public WorkerApi(Function<Report, Answer> reports) {
        this.reports = reports;
    }

    public Http.Reply hello(byte[] body) {
        Report report;
        try {
            report = WorkerCodec.report(Fields.decode(body));
        } catch (Malformed broken) {
            return Http.Reply.error(400, broken.getMessage());
        }
        Answer answer = reports.apply(report);
        if (answer instanceof Answer.Orders orders) {
            return Http.Reply.of(200, Fields.of("baton", orders.token().value(),
                    "orders", WorkerCodec.orders(orders.orders())));
        }
        String member = ((Answer.Elsewhere) answer).member();
        return Http.Reply.of(421, member == null ? Fields.of() : Fields.of("herder", member));
    }
}
