package verbenahatch.kernel;

/** Reads the system clocks through the Java virtual machine. */
final class SystemClock implements Clock {

  static final SystemClock INSTANCE = new SystemClock();

  private SystemClock() {}

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }
}
