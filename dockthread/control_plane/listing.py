"""Answers lookups of operators from a table, in pages."""

from __future__ import annotations

import heapq
from typing import Final

from dockthread.control_plane.messages import LookupRequest, LookupResponse, Resource
from dockthread.control_plane.resource_table import ResourceTable

MAX_PAGE_RESOURCES: Final = 1000
"""Resources of one page."""
MAX_PAGE_BYTES: Final = 1 << 20
"""Bytes of the bodies of one page, which has one resource at least."""


def lookup_resources(table: ResourceTable, request: LookupRequest) -> LookupResponse:
    """Return one resource by its name, or a page of a kind ordered by name.

    A page costs a walk over the table: operators look up, no process does.
    """
    if request.name:
        resource = table.get(request.kind, request.name)
        return LookupResponse(table.revision, () if resource is None else (resource,))
    candidates = (
        resource
        for resource in table.live()
        if resource.kind == request.kind and resource.name > request.after
    )
    first = heapq.nsmallest(MAX_PAGE_RESOURCES, candidates, key=lambda resource: resource.name)
    page: list[Resource] = []
    capacity = MAX_PAGE_BYTES
    for resource in first:
        capacity -= len(resource.body or b"")
        if page and capacity < 0:
            break
        page.append(resource)
    has_more = len(page) < len(first) or len(first) == MAX_PAGE_RESOURCES
    return LookupResponse(table.revision, tuple(page), has_more)
