package verbenahatch.peer;

import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;

/** Holds what all connections of one link share. */
record LinkContext(
    LinkOptions options,
    Clock clock,
    Events events,
    LinkMetrics metrics,
    LinkExecutors executors) {}
