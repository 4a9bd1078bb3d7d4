Feature: The experiment tool compares variants in pairs
  Scenario: Each mechanism of the ablation file can be switched off
    Then every constant of the ablation file exists and has another value

  Scenario: A stale entry of an ablation file is an error that names the constant
    When an ablation file names the constant "knapweedrock.mesh.moves:NO_SUCH_LIMIT"
    Then reading it fails with "knapweedrock.mesh.moves:NO_SUCH_LIMIT does not exist"

  Scenario Outline: A difference is shown only beyond its interval
    When runs with the shares <before> are compared with runs with the shares <after>
    Then the difference is <certain>

    Examples:
      | before         | after          | certain |
      | 0.50 0.52 0.48 | 0.60 0.62 0.58 | shown   |
      | 0.50 0.52 0.48 | 0.60 0.40 0.52 | hidden  |
