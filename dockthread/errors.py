"""The base class of dockthread's own errors, and the error that an unusable setting raises."""

from __future__ import annotations


class DockthreadError(Exception):
    """Base class of the errors that dockthread raises on purpose."""


class SettingsError(DockthreadError):
    """Settings or a configuration that cannot be used.

    The text of the error is one plain line for operators. What it says is also kept in fields, so
    that no caller parses the text again. A field that does not apply is empty.

    Attributes:
        reason: What is wrong.
        file: The file that holds the setting.
        section: The section of the operator's file.
        key: The key, or its path in the platform's JSON.
        remedy: What would do instead.
    """

    def __init__(  # noqa: PLR0913 - each part is a field of its own
        self,
        reason: str,
        *,
        file: str = "",
        section: str = "",
        key: str = "",
        remedy: str = "",
        text: str = "",
    ) -> None:
        """Keep the fields; `text` replaces the line that is made of them."""
        self.reason = reason
        self.file = file
        self.section = section
        self.key = key
        self.remedy = remedy
        super().__init__(text or self._line())

    def in_file(self, file: str) -> SettingsError:
        """Return the same error, with the file in which the setting was found."""
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
            # The operator's file writes `key: reason`, the platform's JSON `path reason`.
            parts.append(f"{self.key}:" if self.section else self.key)
        line = " ".join([*parts, self.reason])
        return f"{line}; {self.remedy}" if self.remedy else line
