"""The base class of dockthread's exceptions, and the exception for invalid settings."""

from __future__ import annotations


class DockthreadError(Exception):
    """Base class of all exceptions that dockthread defines."""


class SettingsError(DockthreadError):
    """Invalid settings or an invalid configuration.

    The text of the error is a single line for operators. The same information is available in
    fields, so that callers need not parse the text. A field that does not apply is empty.

    Attributes:
        reason: The problem with the setting.
        file: The file that contains the setting.
        section: The section of the operator's file.
        key: The key, or its path in the platform's JSON.
        remedy: How to fix the setting, such as a list of valid values.
    """

    def __init__(  # noqa: PLR0913 - one parameter per field
        self,
        reason: str,
        *,
        file: str = "",
        section: str = "",
        key: str = "",
        remedy: str = "",
        text: str = "",
    ) -> None:
        """Store the fields; `text` replaces the text that is composed of them."""
        self.reason = reason
        self.file = file
        self.section = section
        self.key = key
        self.remedy = remedy
        super().__init__(text or self._line())

    def in_file(self, file: str) -> SettingsError:
        """Return a copy of the error with `file` as its file."""
        return SettingsError(
            self.reason,
            file=file,
            section=self.section,
            key=self.key,
            remedy=self.remedy,
            text=f"{file}: {self}",
        )

    def _line(self) -> str:
        parts = [f"{self.file}:"] if self.file else []
        if self.section:
            parts.append(f"[{self.section}]")
        if self.key:
            # An error in the operator's file reads `key: reason`, in the platform's JSON
            # `path reason`.
            parts.append(f"{self.key}:" if self.section else self.key)
        line = " ".join([*parts, self.reason])
        return f"{line}; {self.remedy}" if self.remedy else line
