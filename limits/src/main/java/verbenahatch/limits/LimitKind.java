package verbenahatch.limits;

/** Tells what the tokens of a limit stand for. */
public enum LimitKind {
  /** Requests of a workspace; tokens refill with time. */
  REQUESTS,
  /** Bytes on a link; tokens refill with time. */
  BYTES,
  /** Slots of a region; a token comes back when its request ends. */
  SLOTS
}
