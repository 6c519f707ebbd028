Feature: Guarantees to callers hold under every fault at every step
  A caller gets the complete answer to its own request. A request that is
  reported as "not run" did not run. A non-idempotent request runs at most once.

  Scenario Outline: Faults while a request is at the step "<step>"
    When each fault occurs once while a request is at "<step>"
    And each fault occurs twice while a request is at "<step>"
    And 60 pairs of faults occur while a request is at "<step>"
    Then every guarantee held
    And every fault had an effect at "<step>"

    Examples:
      | step           |
      | opening sent   |
      | offered        |
      | admitted       |
      | forwarded      |
      | running        |
      | answer sent    |
      | answer relayed |
      | closing        |
      | idle           |

  Scenario: The matrix is complete
    Then every fault had an effect at every step
