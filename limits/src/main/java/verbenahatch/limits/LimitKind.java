package verbenahatch.limits;

/** Defines what one token of a limit represents. */
public enum LimitKind {
  /** Requests of a workspace; tokens refill over time. */
  REQUESTS,
  /** Bytes on a link; tokens refill over time. */
  BYTES,
  /** Slots of a region; a token is returned when its request ends. */
  SLOTS
}
