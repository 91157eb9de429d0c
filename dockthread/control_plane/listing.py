"""Answers operators' lookups from a table, in pages."""

from __future__ import annotations

import heapq
from typing import Final

from dockthread.control_plane.messages import LookupRequest, LookupResponse, Resource
from dockthread.control_plane.resource_table import ResourceTable

MAX_PAGE_RESOURCES: Final = 1000
"""Maximum number of resources on one page."""
MAX_PAGE_BYTES: Final = 1 << 20
"""Maximum total size of the bodies on one page, in bytes; a page has at least one resource."""


def lookup_resources(table: ResourceTable, request: LookupRequest) -> LookupResponse:
    """Return one resource by name, or a page of the resources of one kind, sorted by name.

    Each page scans the table; this is acceptable as only operators use lookups.
    """
    if request.name:
        resource = table.get(request.kind, request.name)
        return LookupResponse(table.revision, () if resource is None else (resource,))
    candidates = (
        resource
        for resource in table.live()
        if resource.kind == request.kind and resource.name > request.after
    )
    smallest = heapq.nsmallest(MAX_PAGE_RESOURCES, candidates, key=lambda resource: resource.name)
    page: list[Resource] = []
    remaining_bytes = MAX_PAGE_BYTES
    for resource in smallest:
        remaining_bytes -= len(resource.body or b"")
        if page and remaining_bytes < 0:
            break
        page.append(resource)
    has_more = len(page) < len(smallest) or len(smallest) == MAX_PAGE_RESOURCES
    return LookupResponse(table.revision, tuple(page), has_more)
