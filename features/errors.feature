Feature: Every error kind has a documented answer

  Scenario: The table of answers covers every error kind
    Given all error kinds
    Then each kind has an HTTP error status, an outcome and an action
