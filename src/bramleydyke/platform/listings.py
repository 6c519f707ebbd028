"""Decodes the store's answers, object by object where that is needed.

Other writers may leave JSON that the decoder refuses: text that is not
Unicode, bytes that are not UTF-8, or nesting that is too deep. Such an object
must not hide the others in the same answer. Only an answer that cannot be
decoded as a whole is split into its objects.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import TypeVar

import msgspec

from bramleydyke.adapters.json_text import split_json, split_members

UNDECODABLE = (ValueError, RecursionError)
"""What decoders raise for text that they refuse."""


class ObjectMeta(msgspec.Struct):
    """Name and revision of an object."""

    name: str
    revision: int = 0


class Item(msgspec.Struct):
    """An object; the value is JSON text, ``null`` if it cannot be decoded."""

    meta: ObjectMeta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class Page(msgspec.Struct):
    """Objects of one kind, or the first of them if there are more."""

    items: list[Item]
    current_rev: int
    more: bool = False


class Event(msgspec.Struct):
    """A change to an object."""

    object: Item
    removed: bool = False


class Events(msgspec.Struct):
    """Changes to the objects of one kind."""

    events: list[Event]
    current_rev: int


_Decoded = TypeVar("_Decoded")

_PAGE = msgspec.json.Decoder(Page)
_EVENTS = msgspec.json.Decoder(Events)
_ITEM = msgspec.json.Decoder(Item)
_EVENT = msgspec.json.Decoder(Event)
_META = msgspec.json.Decoder(ObjectMeta)
_INT = msgspec.json.Decoder(int)
_BOOL = msgspec.json.Decoder(bool)


def read_page(body: bytes) -> tuple[Page, int]:
    """Returns a page of a listing.

    Also returns the number of objects that were left out, because not even
    their names can be decoded.

    Raises:
        ValueError: The body is not a page.
    """

    def read_parts(parts: dict[str, bytes]) -> tuple[Page, int]:
        items, left_out = _read_each(parts["items"], read_item)
        more = _BOOL.decode(parts.get("more", b"false"))
        return Page(items, _INT.decode(parts["current_rev"]), more), left_out

    return _read(body, lambda text: (_PAGE.decode(text), 0), read_parts)


def read_events(body: bytes) -> tuple[Events, int]:
    """Returns the changes in an answer to a watch; like ``read_page``.

    Raises:
        ValueError: The body is not an answer to a watch.
    """

    def read_parts(parts: dict[str, bytes]) -> tuple[Events, int]:
        events, left_out = _read_each(parts["events"], _read_event)
        return Events(events, _INT.decode(parts["current_rev"])), left_out

    return _read(body, lambda text: (_EVENTS.decode(text), 0), read_parts)


def read_item(body: bytes) -> Item:
    """Returns a single object.

    Raises:
        ValueError: The body is not an object of the store.
    """
    return _read(body, _ITEM.decode, lambda parts: Item(_META.decode(parts["meta"])))


def _read_event(text: bytes) -> Event:
    def read_parts(parts: dict[str, bytes]) -> Event:
        removed = _BOOL.decode(parts.get("removed", b"false"))
        return Event(read_item(parts["object"]), removed)

    return _read(text, _EVENT.decode, read_parts)


def _read_each(
    text: bytes, read: Callable[[bytes], _Decoded]
) -> tuple[list[_Decoded], int]:
    """Reads the elements of an array; returns also how many it left out."""
    parts = split_json(text)
    found: list[_Decoded] = []
    for part in parts:
        with suppress(ValueError):
            found.append(read(part))
    return found, len(parts) - len(found)


def _read(
    text: bytes,
    decode: Callable[[bytes], _Decoded],
    read_parts: Callable[[dict[str, bytes]], _Decoded],
) -> _Decoded:
    """Decodes a text as a whole or, if that fails, from its members.

    Raises:
        ValueError: Neither works.
    """
    with suppress(*UNDECODABLE):
        return decode(text)
    try:
        return read_parts(split_members(text))
    except (KeyError, RecursionError) as error:
        raise ValueError(f"undecodable answer: {error!r}") from error
