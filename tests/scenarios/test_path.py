"""Distribution and calls from end to end, without faults."""

from pytest_bdd import scenarios

scenarios("path.feature")
