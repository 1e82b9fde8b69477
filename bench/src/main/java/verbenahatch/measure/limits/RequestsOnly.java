package verbenahatch.measure.limits;

import java.util.concurrent.CompletableFuture;
import verbenahatch.limits.Admission;
import verbenahatch.limits.Limits;

/** Refuses what the baselines do not divide. */
abstract class RequestsOnly implements Limits {

  @Override
  public CompletableFuture<Admission> enterRegion(String region, long deadlineNanos) {
    return CompletableFuture.completedFuture(new Admission.UnknownLimit(region));
  }

  @Override
  public void leaveRegion(String region) {}

  @Override
  public CompletableFuture<Admission> takeLinkBytes(
      String from, String to, long bytes, long deadlineNanos) {
    return CompletableFuture.completedFuture(new Admission.UnknownLimit(from + "/" + to));
  }

  @Override
  public double linkHeadroom(String from, String to) {
    return 0;
  }
}
