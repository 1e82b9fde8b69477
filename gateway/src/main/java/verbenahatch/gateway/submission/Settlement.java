package verbenahatch.gateway.submission;

/** Tells what became of a claimed submission. */
public enum Settlement {
  /** It certainly did not run, so it may be claimed again. */
  NOT_RUN,
  /** It ran. */
  RUN,
  /** It may have run. */
  UNKNOWN
}
