Feature: A request keeps every promise under every fault at every step
  A caller gets the whole answer to its own request, "not run" is only said of
  a request that did not run, and a non-idempotent request runs at most once.

  Scenario Outline: Faults while a request is at the step "<step>"
    When each fault happens once while a request is at "<step>"
    And each fault happens twice while a request is at "<step>"
    And 60 pairs of faults happen while a request is at "<step>"
    Then every promise was kept
    And every fault took effect at "<step>"

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

  Scenario: The matrix has no empty cell
    Then every fault was exercised at every step
