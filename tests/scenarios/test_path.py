"""The whole path without faults."""

from pytest_bdd import scenarios

scenarios("path.feature")
