"""Tests of strict decoding of JSON documents."""

from __future__ import annotations

import json

import pytest

from goldcresthall.core import settings
from goldcresthall.encoding import documents
from goldcresthall.encoding import exceptions

ADDRESS = {"host": "127.0.0.1", "port": 1}


def test_decoded_settings_equal_encoded_settings() -> None:
    text = json.dumps(
        {
            "name": "router-1",
            "failure_domain": "domain-a",
            "listen": {"callers": ADDRESS, "peers": ADDRESS, "admin": ADDRESS},
            "platform": {"log": ADDRESS, "instance_list": ADDRESS},
        }
    )
    decoded = documents.decode_document(text, settings.Settings)
    assert documents.decode_document(documents.encode_document(decoded), settings.Settings) == (
        decoded
    )


def test_all_faults_are_reported_with_their_paths() -> None:
    text = json.dumps(
        {
            "name": 7,
            "failure_domain": "domain-a",
            "listen": {"callers": ADDRESS, "peers": {"host": "127.0.0.1"}, "admin": ADDRESS},
            "platform": {"log": ADDRESS, "instance_list": ADDRESS, "retries": 3},
        }
    )
    with pytest.raises(exceptions.DocumentError) as caught:
        documents.decode_document(text, settings.Settings)
    assert {fault.path for fault in caught.value.faults} == {
        "$.name",
        "$.listen.peers.port",
        "$.platform.retries",
    }
