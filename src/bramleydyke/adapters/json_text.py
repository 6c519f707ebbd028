"""Splits JSON text into its parts without decoding them.

The decoder refuses a whole document if one value in it is not Unicode or is
nested too deeply. Its parts can then be decoded one by one.
"""

from __future__ import annotations

import re

import msgspec

_STRING = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
_TOKEN = re.compile(_STRING + rb"|[\[\]{},]", re.DOTALL)
_KEY = re.compile(rb"\s*(" + _STRING + rb")\s*:", re.DOTALL)
_KEY_DECODER = msgspec.json.Decoder(str)


def split_json(text: bytes) -> list[bytes]:
    """Returns the elements of an array or the members of an object, as text.

    Does not decode them and does not recurse, so any content is accepted.

    Raises:
        ValueError: The text is not an array or object, or it ends early.
    """
    parts: list[bytes] = []
    depth, start = 0, 0
    for token in _TOKEN.finditer(text):
        mark = token[0]
        if mark in (b"[", b"{"):
            depth += 1
            if depth == 1:
                start = token.end()
        elif mark in (b"]", b"}"):
            depth -= 1
            if depth == 0:
                last = text[start : token.start()]
                return [*parts, last] if last.strip() else parts
        elif mark == b"," and depth == 1:
            parts.append(text[start : token.start()])
            start = token.end()
    raise ValueError("the JSON text is no array or object, or ends early")


def split_members(text: bytes) -> dict[str, bytes]:
    """Returns the values of an object's members, as text.

    Members with undecodable names are left out.

    Raises:
        ValueError: The text is no JSON object, or it ends early.
    """
    members: dict[str, bytes] = {}
    for part in split_json(text):
        key = _KEY.match(part)
        if key is None:
            raise ValueError("the JSON text is no object")
        try:
            members[_KEY_DECODER.decode(key[1])] = part[key.end() :]
        except ValueError:
            continue
    return members
