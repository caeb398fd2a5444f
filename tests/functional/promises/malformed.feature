Feature: Malformed or oversized input is refused and the daemon keeps serving

  Background:
    Given a fleet without faults

  Scenario Outline: A malformed request of a caller
    When a caller sends <request>
    Then it is refused with status <status>
    And the refusal is counted in "cassiasail_calls_refused_total"
    And every daemon serves calls

    Examples:
      | request                      | status |
      | no HTTP at all               | 400    |
      | a header line without colon  | 400    |
      | a header of 100 KB           | 400    |
      | a path that is not UTF-8     | 400    |
      | a customer that is not UTF-8 | 400    |
      | a key that is not UTF-8      | 400    |
      | two lengths                  | 400    |
      | a body above its limit       | 413    |
      | a truncated body             | None   |

  Scenario Outline: A malformed heartbeat
    When a target sends a heartbeat with <body>
    Then it is refused with status <status>
    And the refusal is counted in "cassiasail_calls_refused_total"
    And every daemon serves calls

    Examples:
      | body                | status |
      | no JSON             | 400    |
      | a JSON list         | 400    |
      | a port that is text | 400    |
      | infinite slots      | 400    |
      | a body of 4 MB      | 413    |
      | deeply nested JSON  | 400    |

  Scenario Outline: A malformed peer message
    When a peer sends <message> on its <link> link
    Then the peer's connection is closed
    And the refusal is counted in "cassiasail_messages_refused_total"
    And every daemon serves calls

    Examples:
      | message                     | link    |
      | random bytes                | calls   |
      | text                        | calls   |
      | deeply nested CBOR          | calls   |
      | an unknown frame type       | calls   |
      | a frame of 2 MB             | calls   |
      | a fingerprint of 8 EB       | calls   |
      | an unknown call class       | calls   |
      | an infinite attempt         | calls   |
      | a line break in a header    | calls   |
      | random bytes                | control |
      | text                        | control |
      | deeply nested CBOR          | control |
      | a message of 65 MB          | control |
      | anything                    | unknown |

  Scenario Outline: A call that the lists do not allow
    When a call goes to <service> <path> as <customer>
    Then it is refused as "<reason>", executed "no", and counted
    And no target has run it

    Examples:
      | service     | path      | customer | reason           |
      | outlook-svc | /outlooks | nobody   | unknown_customer |
      | nothing-svc | /outlooks | desk     | unknown_service  |
      | outlook-svc | /nowhere  | desk     | unknown_route    |
      | array-ctl   | /orders   | small    | not_in_plan      |
      | array-ctl   | /orders   | desk     | key_required     |
