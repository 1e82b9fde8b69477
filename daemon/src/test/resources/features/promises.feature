Feature: What operators are promised

  Three hosts in three regions, targets of two services in each region, and the platform.

  Background:
    Given a fleet that serves "north" at 50 requests a second with a burst of 20

  # Guards against a withdrawn key that a host still accepts because it missed the withdrawal.
  Scenario Outline: A withdrawn key stops within 3 seconds on every host
    Given a key of "north" that every host accepts
    And the store is <store>
    When an operator withdraws the key
    Then every host refuses the key as "not-run" within 3 seconds
    And the withdrawal is in force

    Examples:
      | store |
      | up    |
      | down  |

  # Guards against a deposit that runs twice, which cuts sheet metal twice, because a client
  # submitted it again through another host.
  Scenario Outline: A deposit submitted through every host at once runs at most once
    Given a key of "north" that every host accepts
    When a client submits 20 deposits, each through every host at once, by <means>
    Then the targets ran each deposit at most once
    And each answer that says "not-run" is true

    Examples:
      | means           |
      | idempotency key |
      | ticket          |

  # Guards against a workspace that can use its whole burst on each host.
  Scenario: A workspace stays inside its rate and burst over all hosts
    Given a key of "north" that every host accepts
    When callers send as fast as they can through every host for 5 seconds
    Then the targets ran no more than the rate and burst allow
    And the targets ran at least half of what the rate allows

  # Guards against a caller's key that appears in a target's log.
  Scenario: No target sees a caller's key
    Given a key of "north" that every host accepts
    When a caller presents the key in every header it may use
    Then no target saw the key

  # Guards against requests that fail because a host is stopped as planned.
  Scenario: A planned stop cuts off no request
    Given a key of "north" that every host accepts
    When a host stops while callers follow the entry advice
    Then no request failed

  # Guards against hosts that adopt an older configuration from a store restored from a backup.
  Scenario: A restored store reverts no configuration
    Given a saved copy of the store
    And an operator changes the rate of "north" to 70
    When the store is restored to what was saved
    Then every host keeps generation 2 for 4 seconds
