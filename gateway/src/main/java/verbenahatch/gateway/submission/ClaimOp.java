package verbenahatch.gateway.submission;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import verbenahatch.peer.generated.ClaimBucket;
import verbenahatch.peer.generated.KeyClaim;
import verbenahatch.peer.generated.TicketResult;

/** Changes one claim in a bucket. */
sealed interface ClaimOp {

  /**
   * Applies the change.
   *
   * @return true if the bucket differs afterwards
   */
  boolean apply(ClaimBucket.Builder bucket, long nowSeconds);

  /**
   * Makes a claim unless the key is claimed.
   *
   * @param hash the hash of the key
   * @param claimId names the request
   * @param state what was found in the last application
   * @param done completes with the result after the bucket was written
   */
  record Make(ByteString hash, ByteString claimId, Found state, CompletableFuture<ClaimResult> done)
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
        state.other = null;
        return true;
      }
      KeyClaim existing = bucket.getClaims(index);
      state.other = existing.getClaimId().equals(claimId) ? null : existing;
      return false;
    }
  }

  /** Keeps the claim that a request found in its way. */
  final class Found {
    @org.jspecify.annotations.Nullable KeyClaim other;
  }

  /**
   * Records the result of a claim.
   *
   * @param hash the hash of the key
   * @param claimId names the request
   * @param result what became of it
   * @param status the HTTP status
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
