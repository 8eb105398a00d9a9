"""Tests of the identifier helpers."""

from lentilchute import ids


def test_request_id_names_its_incarnation_and_instance() -> None:
    incarnation = ids.IncarnationId("entry-1.9f3a")
    request = ids.request_id(incarnation, 7)
    assert request == "entry-1.9f3a/7"
    assert ids.incarnation_of(request) == incarnation
    assert ids.instance_of(incarnation) == "entry-1"
