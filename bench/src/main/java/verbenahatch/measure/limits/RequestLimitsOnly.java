package verbenahatch.measure.limits;

import java.util.concurrent.CompletableFuture;
import verbenahatch.limits.Admission;
import verbenahatch.limits.Limits;

/** Base class of the baselines, which limit only requests: knows no region and no link limit. */
abstract class RequestLimitsOnly implements Limits {

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
