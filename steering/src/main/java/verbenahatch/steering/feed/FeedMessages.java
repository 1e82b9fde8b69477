package verbenahatch.steering.feed;

import verbenahatch.peer.generated.FeedObject;

/**
 * Converts the objects of one kind of feed to messages between hosts and back.
 *
 * @param <T> the type of the objects
 */
public interface FeedMessages<T> {

  /**
   * Writes an object to a message.
   *
   * @param object the object to write
   * @param builder the builder of the message, whose name is already set
   */
  void write(T object, FeedObject.Builder builder);

  /**
   * Reads the object of a message.
   *
   * @param message a message of another host
   * @return the object that the message contains
   * @throws IllegalArgumentException if the message contains no object of this kind
   */
  T read(FeedObject message);
}
