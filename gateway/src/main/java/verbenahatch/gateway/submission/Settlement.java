package verbenahatch.gateway.submission;

/** Whether a claimed submission ran. */
public enum Settlement {
  /** It certainly did not run, so it may be claimed again. */
  NOT_RUN,
  /** It ran. */
  RUN,
  /** It may have run. */
  UNKNOWN
}
