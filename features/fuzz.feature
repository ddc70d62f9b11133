Feature: Random faults between clients, a proxy server and workers
  The histories of clients and workers are compared: each response is complete and belongs to its client, a request that
  is not idempotent runs at most once, and each promise is kept. `npm run fuzz` runs more seeds.

  Scenario: No check fails for a fixed range of seeds
    When 200 seeds are fuzzed, starting at 1
    Then no check fails, and more than 1000 attempts were made

  Scenario Outline: Each check detects the defect that it guards against
    When seeds of the variant "<variant>" are fuzzed until the defect is detected
    Then the check "<check>" detects it

    Examples:
      | variant                                   | check            |
      | a response to another attempt is accepted | ownResponse      |
      | an unsafe request is treated as safe      | atMostOnce       |
      | a request that ran is reported as not run | promiseKept      |
      | request bodies are altered                | unchangedRequest |
      | the limit on tries is exceeded            | maxTries         |
      | every key claim is granted                | oneRunPerKey     |
      | time-outs never expire                    | answered         |
      | client disconnects are not detected       | notAfterLeaving  |
      | calls to workers are never ended          | nothingLeftOpen  |
