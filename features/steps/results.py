"""Steps about result codes."""

from behave import given, then

from knapweedrock.codes import INFO, Code


@given("the result codes")
def read_codes(context):
    """List all codes."""
    context.codes = list(Code)


@then("each code has a meaning, an outcome and an HTTP status")
def check_codes(context):
    """Check the entry of each code."""
    for code in context.codes:
        info = INFO[code]
        assert info.meaning.endswith("."), code
        assert 200 <= info.http_status < 600, code
