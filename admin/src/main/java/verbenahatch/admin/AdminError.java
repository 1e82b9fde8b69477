package verbenahatch.admin;

import java.util.List;
import verbenahatch.model.Fault;

/** Tells why an administration call was refused or failed. */
sealed interface AdminError {

  /** The call carries no known operator credentials. */
  record Unauthorized() implements AdminError {}

  /** Nothing has this name. */
  record NotFound(String what) implements AdminError {}

  /** The path exists but not with this method. */
  record WrongMethod(String allowed) implements AdminError {}

  /** The input has faults; nothing was changed. */
  record BadInput(List<Fault> faults) implements AdminError {
    static BadInput of(String path, String value, String allowed) {
      return new BadInput(List.of(new Fault(path, value, allowed)));
    }
  }

  /** The caller saw another generation than the current one; nothing was changed. */
  record Conflict(String object, long seen, long current) implements AdminError {}

  /** The call certainly changed nothing. */
  record Unavailable(String reason) implements AdminError {}

  /** The effect of the change is not known. */
  record Unsettled(String object, String advice) implements AdminError {}

  /** Too many calls of this kind wait already. */
  record Busy(String reason) implements AdminError {}
}
