"""Answers `Lookup` from a table, in pages: what an operator is shown."""

from __future__ import annotations

import heapq

from dockthread.control_plane.messages import LookupRequest, LookupResponse, Resource
from dockthread.control_plane.resource_table import ResourceTable

MOST_LISTED = 1000  # resources of one page
MOST_PAGE = 1 << 20  # bytes of bodies in one page; one resource at least


def found(table: ResourceTable, lookup: LookupRequest) -> LookupResponse:
    """One resource by its name, or a page of a kind. A page costs a walk over the table: it is for
    people.
    """
    if lookup.name:
        one = table.get(lookup.kind, lookup.name)
        return LookupResponse(table.revision, () if one is None else (one,))
    later = (one for one in table.live() if one.kind == lookup.kind and one.name > lookup.after)
    page = heapq.nsmallest(MOST_LISTED, later, key=lambda one: one.name)
    taken: list[Resource] = []
    room = MOST_PAGE
    for one in page:
        room -= len(one.body or b"")
        if taken and room < 0:
            break
        taken.append(one)
    more = len(taken) < len(page) or len(page) == MOST_LISTED
    return LookupResponse(table.revision, tuple(taken), more)
