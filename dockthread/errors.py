"""The base class of dockthread's own errors, and the error that a bad setting raises."""

from __future__ import annotations


class DockthreadError(Exception):
    """Base class of every error that dockthread raises on purpose.

    The text of an error is one plain line for operators.
    """


class SettingsError(DockthreadError):
    """Report settings or a configuration that cannot be used.

    What the error concerns is kept in fields, so that nobody parses the text again. A field that
    does not apply is empty.

    Attributes:
        reason: What is wrong.
        file: The file that holds the setting.
        key: The setting, with its section or object where it has one.
        remedy: What would do instead.
    """

    def __init__(self, reason: str, *, file: str = "", key: str = "", remedy: str = "") -> None:
        self.reason = reason
        self.file = file
        self.key = key
        self.remedy = remedy
        super().__init__(reason)

    def __str__(self) -> str:
        """Return `file: key reason; remedy`, without the parts that are empty."""
        text = f"{self.key} {self.reason}" if self.key else self.reason
        if self.file:
            text = f"{self.file}: {text}"
        return f"{text}; {self.remedy}" if self.remedy else text
