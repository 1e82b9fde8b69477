package verbenahatch.limits;

/** Tells whether work is admitted under a shared limit. */
public sealed interface Admission {

  /** The work may start now. */
  record Admitted() implements Admission {}

  /**
   * The limit is used up.
   *
   * @param retryAfterMillis when a retry is likely to be admitted, in milliseconds
   */
  record OverLimit(long retryAfterMillis) implements Admission {}

  /** This host is not fresh and must not use shared limits. */
  record NotFresh() implements Admission {}

  /**
   * No limit of that name is in force.
   *
   * @param name the name asked for
   */
  record UnknownLimit(String name) implements Admission {}
}
