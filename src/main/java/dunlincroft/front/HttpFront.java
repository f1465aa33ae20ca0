package dunlincroft.front;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dunlincroft.Constants;
import dunlincroft.coordination.Controller;
import dunlincroft.coordination.JobService;
import dunlincroft.protocol.Cbor;
import dunlincroft.protocol.JobSpec;
import dunlincroft.protocol.MalformedException;
import dunlincroft.protocol.Wire;
import dunlincroft.protocol.WorkerReport;
import dunlincroft.transport.RequestHandler;
import dunlincroft.transport.Responder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The users' and workers' HTTP interface; another front would stand beside it on JobDesk. */
public final class HttpFront implements RequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HttpFront.class);

  private final Controller controller;
  private final JobService jobs;

  public HttpFront(Controller controller) {
    this.controller = controller;
    this.jobs = controller.jobService();
  }

  @Override
  public void handle(String method, String uri, byte[] body, Responder out) {
    int query = uri.indexOf('?');
    String path = query < 0 ? uri : uri.substring(0, query);
    if (path.equals(Wire.READY)) {
      if (allowed(method, "GET", out)) {
        out.send(controller.isReady() ? 200 : 503, new byte[0], 0);
      }
    } else if (path.equals(Wire.WORKER_HEARTBEAT)) {
      if (allowed(method, "POST", out)) {
        hello(body, out);
      }
    } else if (path.equals(Wire.SUBMISSIONS)) {
      if (allowed(method, "POST", out)) {
        submit(body, out);
      }
    } else if (path.startsWith(Wire.SUBMISSIONS + "/")) {
      String ref = path.substring(Wire.SUBMISSIONS.length() + 1);
      boolean cancel = ref.endsWith(Wire.CANCEL);
      String id = cancel ? ref.substring(0, ref.length() - Wire.CANCEL.length()) : ref;
      if (id.isEmpty() || id.indexOf('/') >= 0) {
        error(out, 404, "no such path");
      } else if (allowed(method, cancel ? "POST" : "GET", out)) {
        one(id, cancel, out);
      }
    } else {
      error(out, 404, "no such path");
    }
  }

  private static boolean allowed(String method, String only, Responder out) {
    if (method.equals(only)) {
      return true;
    }
    error(out, 405, "only " + only);
    return false;
  }

  private static void error(Responder out, int status, String why) {
    out.send(status, Cbor.bytes(Cbor.map().put("error", why)), 0);
  }

  private static ObjectNode parse(byte[] body) throws MalformedException {
    if (body.length > Constants.MAX_BODY_BYTES) {
      throw new MalformedException("the body is over 64 KiB");
    }
    return Cbor.parse(body);
  }

  private void hello(byte[] body, Responder out) {
    try {
      controller.onWorkerHeartbeat(WorkerReport.parse(parse(body)), out);
    } catch (MalformedException e) {
      LOG.info("malformed report: {}", e.getMessage());
      error(out, 400, e.getMessage());
    }
  }

  private void submit(byte[] body, Responder out) {
    try {
      JobSpec spec = JobSpec.parse(parse(body));
      jobs.submit(spec, outcome -> answer(outcome, out));
    } catch (MalformedException e) {
      LOG.info("submission refused: {}", e.getMessage());
      error(out, 400, e.getMessage());
    }
  }

  private void one(String id, boolean cancel, Responder out) {
    if (!JobSpec.isValidRef(id)) {
      error(out, 404, "no such job");
    } else if (cancel) {
      jobs.cancel(id, outcome -> answer(outcome, out));
    } else {
      jobs.poll(id, outcome -> answer(outcome, out));
    }
  }

  private void answer(JobService.Response outcome, Responder out) {
    switch (outcome.code()) {
      case CREATED, OK -> {
        ObjectNode map = Cbor.map().put("ref", outcome.ref()).put("status", outcome.status());
        map.put("done", outcome.done()).put("running", outcome.running());
        out.send(outcome.code() == JobService.ResultCode.CREATED ? 201 : 200, Cbor.bytes(map), 0);
      }
      case NOT_FOUND -> error(out, 404, "no such job");
      case IMPOSSIBLE -> error(out, 422, "can never run");
      default ->
          out.send(503, Cbor.bytes(Cbor.map().put("error", "not now")), outcome.retryAfterS());
    }
  }
}
