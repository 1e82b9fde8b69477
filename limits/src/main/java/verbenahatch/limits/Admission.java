package verbenahatch.limits;

/** The decision whether work is admitted under a shared limit. */
public sealed interface Admission {

  /** The work may start now. */
  record Admitted() implements Admission {}

  /**
   * The limit is used up.
   *
   * @param retryAfterMillis the time until a retry is likely to be admitted, in milliseconds, at
   *     least 1
   */
  record OverLimit(long retryAfterMillis) implements Admission {}

  /** This host is not fresh, so it must not use shared limits. */
  record NotFresh() implements Admission {}

  /**
   * No limit of that name is in force.
   *
   * @param name the requested name
   */
  record UnknownLimit(String name) implements Admission {}
}
