Feature: Every refusal has an answer

  Scenario: The table from error kind to answer is complete
    Given the closed list of error kinds
    Then each kind has an HTTP status, an outcome and an action
