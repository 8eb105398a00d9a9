"""Decoding and forwarding of the platform's headers."""

from hypothesis import given
from hypothesis import strategies as st

from lentilchute.http.messages import header_value
from lentilchute.ids import ClientAccountId, UpstreamId
from lentilchute.platform.headers import (
    MAX_ID_CHARACTERS,
    StatedLoad,
    decode_answer,
    decode_call,
    upstream_headers,
)

CALL = (
    ("host", "a.example"),
    ("lentilchute-attempt-id", "id-1"),
    ("lentilchute-key", "secret"),
    ("lentilchute-deadline-ms", "1500"),
    ("lentilchute-token-counts", "1460,80"),
    ("lentilchute-prompt-prefix", "5c1e:800,91bd:660"),
    ("lentilchute-length-hint", "40"),
    ("last-event-id", "12"),
    ("lentilchute-tenant-name", "someone-else"),
    ("lentilchute-cache-hold", "h"),
    ("lentilchute-pin-ms", "5"),
    ("lentilchute-kv-backup", "10.0.0.1:1"),
    ("kv-from", "10.0.0.1:1/x"),
    ("kv-fetch", "10.0.0.1:1"),
    ("lentilchute-expect-instance", "i-9"),
    ("connection", "keep-alive"),
    ("transfer-encoding", "chunked"),
    ("x-other", "kept"),
)


def forwarded_headers(**changes: object) -> dict[str, str]:
    values: dict[str, object] = {
        "upstream": UpstreamId("i-1"),
        "account": ClientAccountId("notary"),
        "remaining_time_s": 1.25,
        "resume_after": None,
    }
    return dict(upstream_headers(CALL, **{**values, **changes}))  # type: ignore[arg-type]


def test_a_call_is_decoded() -> None:
    call = decode_call(CALL)
    assert call.attempt_id == "id-1"
    assert call.remaining_time_s == 1.5
    assert (call.prompt_tokens, call.max_output_tokens) == (1460, 80)
    assert call.expected_output_tokens == 40
    assert call.resume_after == 12


def test_the_last_part_of_a_prompt_is_not_shared() -> None:
    def shared_parts(text: str) -> list[str]:
        return list(decode_call((("lentilchute-prompt-prefix", text),)).shared_prompt_parts)

    assert shared_parts("5c1e:800, 91BD:410,e440:250") == ["5c1e", "91bd"]
    assert shared_parts("5c1e:800") == []
    for malformed in ("", "5c1e:800,,e440:250", "5c1e:800,part:1,e440:250"):
        assert shared_parts(malformed) == []
    assert len(shared_parts(",".join(["5c1e:1"] * 100))) == 63


def test_long_ids_are_remembered_by_their_digests() -> None:
    """Guards against ids of many kilobytes filling the memories of all nodes that hear of them."""
    longest, long = "a" * MAX_ID_CHARACTERS, "b" * 8_000
    call = decode_call(
        (
            ("lentilchute-attempt-id", long),
            ("resumes", long),
            ("lentilchute-prompt-prefix", f"{longest}:10,{long}:20,{long[:-1]}c:30,ab:40"),
        )
    )
    assert call.attempt_id == long, "answers name it as the caller sent it"
    assert call.begun_stream == call.resumed_stream
    assert len(call.begun_stream) <= MAX_ID_CHARACTERS
    parts = [part.part for part in call.prompt_parts]
    assert parts[0] == longest and parts[3] == "ab"
    assert len(set(parts)) == 4 and max(map(len, parts)) <= MAX_ID_CHARACTERS
    again = decode_call((("lentilchute-prompt-prefix", f"{long.upper()}:20"),))
    assert again.prompt_parts[0].part == parts[1]


def test_an_upstream_names_its_limit_as_a_decimal_number() -> None:
    def limit_per_s(text: str) -> float | None:
        return decode_answer((("server-limit", text),)).limit_per_s

    assert limit_per_s("2.3") == 2.3
    assert limit_per_s("0") == 0.0
    for malformed in ("", "-1", "some", "nan", "inf", "1e3"):
        assert limit_per_s(malformed) is None
    assert decode_answer(()).limit_per_s is None


def test_an_upstream_states_its_load_with_or_without_its_speed() -> None:
    def load(text: str) -> StatedLoad | None:
        return decode_answer((("lentilchute-engine-load", text),)).load

    assert load("3,0,8") == StatedLoad(running=3, waiting=0, slots=8, slowdown=None)
    assert load("3, 1, 8, 250") == StatedLoad(running=3, waiting=1, slots=8, slowdown=2.5)
    assert load("3,0,8,0") == StatedLoad(running=3, waiting=0, slots=8, slowdown=None)
    for malformed in ("", "3,0", "3,0,0", "3,0,8,x", "3,0,8,100,1", "-1,0,8", "3,,8"):
        assert load(malformed) is None


def test_the_key_and_reserved_headers_are_not_forwarded() -> None:
    headers = forwarded_headers()
    assert "lentilchute-key" not in headers
    assert headers["lentilchute-tenant-name"] == "notary"
    assert headers["lentilchute-expect-instance"] == "i-1"
    assert headers["lentilchute-deadline-ms"] == "1250"
    assert headers["x-other"] == "kept"
    assert headers["lentilchute-attempt-id"] == "id-1"
    assert headers["last-event-id"] == "12"
    for name in ("cache-hold", "pin-ms", "kv-backup"):
        assert f"lentilchute-{name}" not in headers
    assert not {"kv-from", "kv-fetch", "transfer-encoding"} & set(headers)


def test_without_an_account_no_account_header_is_sent() -> None:
    assert "lentilchute-tenant-name" not in forwarded_headers(account=None)


def test_a_resumed_stream_sends_its_last_event_id() -> None:
    assert forwarded_headers(resume_after=30)["last-event-id"] == "30"


def test_an_answer_is_decoded() -> None:
    answer = decode_answer(
        (
            ("lentilchute-attempt-id", "id-1"),
            ("lentilchute-engine-stamp", "s"),
        )
    )
    assert answer.is_signed and not answer.is_not_executed and not answer.has_encoding
    refused = decode_answer((("lentilchute-not-executed", "1"), ("content-encoding", "gzip")))
    assert refused.is_not_executed and refused.has_encoding and not refused.is_signed


@given(st.lists(st.text(max_size=30), min_size=6, max_size=6))
def test_any_values_are_decoded_without_an_error(values: list[str]) -> None:
    names = [name for name, _ in CALL[3:8]]
    headers = tuple(zip(names, values, strict=False))
    call = decode_call(headers)
    assert call.prompt_tokens >= 0
    assert header_value(headers, "lentilchute-key") is None


def test_what_an_upstream_says_of_itself_is_decoded() -> None:
    answer = decode_answer((("server-leaving", "1"), ("retry-after", "1.5")))
    assert answer.is_leaving and answer.retry_after_s == 1.5
    plain = decode_answer(
        (("server-leaving", "0"), ("retry-after", "Fri, 04 Dec 2026 10:00:00 GMT"))
    )
    assert not plain.is_leaving and plain.retry_after_s is None
