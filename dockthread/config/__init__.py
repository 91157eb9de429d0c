"""Configuration: the platform's JSON and the operator's INI file, read, checked and typed.

| module | what it owns |
| --- | --- |
| `address.py` | `host:port` and its sockets |
| `ingress_config.py` | the types of one ingress's configuration |
| `platform_settings.py` | the reader of the platform's JSON |
| `ini_reader.py` | the reader of INI text, whatever the sections |
| `quantities.py` | durations, sizes and shares with their units |
| `section_registry.py` | the sections of the operator's file, and the file itself |

The type of each section stands with the subsystem that it configures.
"""
