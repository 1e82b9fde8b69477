package verbenahatch.gateway;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.KeyCheck;
import verbenahatch.gateway.submission.ClaimResult;
import verbenahatch.gateway.submission.KeyClaims;
import verbenahatch.gateway.submission.Tickets;
import verbenahatch.kernel.Json;

/** Parses the submission that a request names, claims it, and serves the ticket endpoint. */
final class Submissions implements AutoCloseable {

  /** The URL path at which callers get tickets. */
  static final String TICKET_PATH = "/v1/tickets";

  private final GatewayContext context;
  private final Tickets tickets;
  private final KeyClaims keyClaims;

  Submissions(GatewayContext context) {
    this.context = context;
    this.tickets =
        new Tickets(
            context.fleet(),
            context.peers(),
            context.clock(),
            context.settings().fleetSecret(),
            context.settings().environment());
    this.keyClaims =
        new KeyClaims(context.store(), context.clock(), context.settings().environment());
  }

  /** The submission that a request names. */
  sealed interface Submission {

    /** Returns the id that is sent to targets. */
    String id();

    /**
     * A submission with a ticket.
     *
     * @param text the ticket
     */
    record WithTicket(String text) implements Submission {
      // The MAC is not sent to targets; the part before it identifies the submission.
      @Override
      public String id() {
        int idEnd = text.indexOf('.');
        return idEnd < 0 ? text : text.substring(0, idEnd);
      }
    }

    /**
     * A submission with an idempotency key chosen by the caller.
     *
     * @param id the idempotency key
     */
    record WithKey(String id) implements Submission {}
  }

  private record TicketBody(String ticket, long ttlMillis) {}

  /**
   * Returns whether at most one header field names a submission and an idempotency key is valid.
   */
  static boolean hasValidHeaders(HttpFields headers) {
    int tickets = headers.getValuesList(HeaderNames.TICKET).size();
    int keys = headers.getValuesList(HeaderNames.IDEMPOTENCY_KEY).size();
    String key = headers.get(HeaderNames.IDEMPOTENCY_KEY);
    return tickets + keys <= 1
        && (key == null || (!key.isBlank() && key.length() <= KeyClaims.MAX_KEY_LENGTH));
  }

  /**
   * Returns the submission that a request names.
   *
   * @return the submission, null if the request names none
   */
  static @Nullable Submission parse(HttpFields headers) {
    String ticket = headers.get(HeaderNames.TICKET);
    if (ticket != null) {
      return new Submission.WithTicket(ticket);
    }
    String key = headers.get(HeaderNames.IDEMPOTENCY_KEY);
    return key == null ? null : new Submission.WithKey(key);
  }

  CompletableFuture<ClaimResult> claim(
      Submission submission, @Nullable String workspace, long deadlineNanos) {
    String owner = workspace == null ? "" : workspace;
    if (submission instanceof Submission.WithTicket ticket) {
      return tickets.claim(ticket.text(), owner, deadlineNanos);
    }
    return keyClaims.claim(submission.id(), owner);
  }

  static Refusal refusalOf(ClaimResult result) {
    if (result instanceof ClaimResult.AlreadyRun) {
      return Refusal.ALREADY_RUN;
    }
    if (result instanceof ClaimResult.Expired) {
      return Refusal.TICKET_EXPIRED;
    }
    if (result instanceof ClaimResult.Invalid) {
      return Refusal.TICKET_INVALID;
    }
    return result instanceof ClaimResult.Unavailable
        ? Refusal.CLAIM_UNAVAILABLE
        : Refusal.SUBMISSION_UNKNOWN;
  }

  /** Serves {@code POST /v1/tickets}. */
  void handle(Request request, Response response, Callback callback) {
    if (!HttpMethod.POST.is(request.getMethod())) {
      RefusalWriter.write(response, callback, Refusal.METHOD_NOT_ALLOWED, 0);
      return;
    }
    if (!(KeyStripper.find(request.getHeaders()) instanceof KeyStripper.Presented.Key key)) {
      RefusalWriter.write(response, callback, Refusal.KEY_AMBIGUOUS, 0);
      return;
    }
    String workspace = "";
    if (key.key() != null) {
      KeyCheck check = context.keys().check(key.key());
      if (!(check instanceof KeyCheck.Valid valid)) {
        RefusalWriter.write(response, callback, Exchange.refusalOf(check), 0);
        return;
      }
      workspace = valid.workspace();
    }
    final byte[] body =
        Json.write(new TicketBody(tickets.issue(workspace), tickets.timeToLiveMillis()));
    response.setStatus(201);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    response.write(true, ByteBuffer.wrap(body), callback);
  }

  void removeExpired() {
    tickets.removeExpired();
  }

  int ticketClaimCount() {
    return tickets.claimCount();
  }

  @Override
  public void close() {
    keyClaims.close();
  }
}
