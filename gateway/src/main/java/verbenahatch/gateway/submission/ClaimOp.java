package verbenahatch.gateway.submission;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import verbenahatch.peer.generated.ClaimBucket;
import verbenahatch.peer.generated.KeyClaim;
import verbenahatch.peer.generated.TicketResult;

/** A change of one claim in a bucket. */
sealed interface ClaimOp {

  /**
   * Applies the change.
   *
   * @param nowSeconds the wall-clock time, in seconds since the epoch
   * @return true if the bucket differs afterwards
   */
  boolean apply(ClaimBucket.Builder bucket, long nowSeconds);

  /**
   * Creates a claim unless the key is claimed by another request.
   *
   * @param hash the hash of the key
   * @param claimId the random id of the claim
   * @param conflict holds the claim that prevented the creation when the change was last applied
   * @param future completes with the result after the bucket was written
   */
  record Create(
      ByteString hash, ByteString claimId, Conflict conflict, CompletableFuture<ClaimResult> future)
      implements ClaimOp {

    @Override
    public boolean apply(ClaimBucket.Builder bucket, long nowSeconds) {
      int index = find(bucket, hash);
      if (index < 0) {
        bucket.addClaims(
            KeyClaim.newBuilder()
                .setKeyHash(hash)
                .setClaimId(claimId)
                .setClaimedSeconds(nowSeconds));
        conflict.claim = null;
        return true;
      }
      KeyClaim existing = bucket.getClaims(index);
      conflict.claim = existing.getClaimId().equals(claimId) ? null : existing;
      return false;
    }
  }

  /** Holds the claim of another request on the same key, null if there is none. */
  final class Conflict {
    @org.jspecify.annotations.Nullable KeyClaim claim;
  }

  /**
   * Records the result of a claim.
   *
   * @param hash the hash of the key
   * @param claimId the random id of the claim
   * @param result whether the submission ran
   * @param status the HTTP status of the response, 0 if there was none
   */
  record Settle(ByteString hash, ByteString claimId, TicketResult.Result result, int status)
      implements ClaimOp {

    @Override
    public boolean apply(ClaimBucket.Builder bucket, long nowSeconds) {
      int index = find(bucket, hash);
      if (index < 0 || !bucket.getClaims(index).getClaimId().equals(claimId)) {
        return false;
      }
      if (result == TicketResult.Result.NOT_RUN) {
        bucket.removeClaims(index);
      } else {
        bucket.getClaimsBuilder(index).setResult(result).setStatus(status);
      }
      return true;
    }
  }

  private static int find(ClaimBucket.Builder bucket, ByteString hash) {
    for (int i = 0; i < bucket.getClaimsCount(); i++) {
      if (bucket.getClaims(i).getKeyHash().equals(hash)) {
        return i;
      }
    }
    return -1;
  }
}
