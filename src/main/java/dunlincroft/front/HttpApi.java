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

/**
 * HTTP interface for users and workers. Requests of users go to {@link JobService}, on which an
 * interface with another protocol could be based as well.
 */
public final class HttpApi implements RequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HttpApi.class);

  private final Controller controller;
  private final JobService jobs;

  public HttpApi(Controller controller) {
    this.controller = controller;
    this.jobs = controller.jobService();
  }

  @Override
  public void handle(String method, String uri, byte[] body, Responder responder) {
    int queryStart = uri.indexOf('?');
    String path = queryStart < 0 ? uri : uri.substring(0, queryStart);
    if (path.equals(Wire.READY)) {
      if (checkMethod(method, "GET", responder)) {
        responder.send(controller.isReady() ? 200 : 503, new byte[0], 0);
      }
    } else if (path.equals(Wire.WORKER_HEARTBEAT)) {
      if (checkMethod(method, "POST", responder)) {
        handleWorkerHeartbeat(body, responder);
      }
    } else if (path.equals(Wire.SUBMISSIONS)) {
      if (checkMethod(method, "POST", responder)) {
        handleSubmission(body, responder);
      }
    } else if (path.startsWith(Wire.SUBMISSIONS + "/")) {
      String jobPath = path.substring(Wire.SUBMISSIONS.length() + 1);
      boolean isCancellation = jobPath.endsWith(Wire.CANCEL);
      String id =
          isCancellation ? jobPath.substring(0, jobPath.length() - Wire.CANCEL.length()) : jobPath;
      if (id.isEmpty() || id.indexOf('/') >= 0) {
        sendError(responder, 404, "no such path");
      } else if (checkMethod(method, isCancellation ? "POST" : "GET", responder)) {
        handleJob(id, isCancellation, responder);
      }
    } else {
      sendError(responder, 404, "no such path");
    }
  }

  /** Whether the HTTP method is the expected one; otherwise answers with status 405. */
  private static boolean checkMethod(String method, String expected, Responder responder) {
    if (method.equals(expected)) {
      return true;
    }
    sendError(responder, 405, "only " + expected);
    return false;
  }

  private static void sendError(Responder responder, int status, String message) {
    responder.send(status, Cbor.bytes(Cbor.map().put("error", message)), 0);
  }

  private static ObjectNode parseBody(byte[] body) throws MalformedException {
    if (body.length > Constants.MAX_BODY_BYTES) {
      throw new MalformedException("the body is over 64 KiB");
    }
    return Cbor.parse(body);
  }

  private void handleWorkerHeartbeat(byte[] body, Responder responder) {
    try {
      controller.onWorkerHeartbeat(WorkerReport.parse(parseBody(body)), body.length, responder);
    } catch (MalformedException e) {
      LOG.info("malformed worker heartbeat: {}", e.getMessage());
      sendError(responder, 400, e.getMessage());
    }
  }

  private void handleSubmission(byte[] body, Responder responder) {
    try {
      JobSpec spec = JobSpec.parse(parseBody(body));
      jobs.submit(spec, response -> sendResponse(response, responder));
    } catch (MalformedException e) {
      LOG.info("submission refused: {}", e.getMessage());
      sendError(responder, 400, e.getMessage());
    }
  }

  /** Answers a status query for a job, or a request to cancel it. */
  private void handleJob(String id, boolean isCancellation, Responder responder) {
    if (!JobSpec.isValidRef(id)) {
      sendError(responder, 404, "no such job");
    } else if (isCancellation) {
      jobs.cancel(id, response -> sendResponse(response, responder));
    } else {
      jobs.poll(id, response -> sendResponse(response, responder));
    }
  }

  private void sendResponse(JobService.Response response, Responder responder) {
    switch (response.code()) {
      case CREATED, OK -> {
        ObjectNode map = Cbor.map().put("ref", response.ref()).put("status", response.status());
        map.put("done", response.done()).put("running", response.running());
        responder.send(
            response.code() == JobService.ResultCode.CREATED ? 201 : 200, Cbor.bytes(map), 0);
      }
      case NOT_FOUND -> sendError(responder, 404, "no such job");
      case IMPOSSIBLE -> sendError(responder, 422, "can never run");
      default ->
          responder.send(
              503, Cbor.bytes(Cbor.map().put("error", "not now")), response.retryAfterS());
    }
  }
}
