"""Configuration: reads and validates the platform's JSON and the operator's INI file.

| module | contents |
| --- | --- |
| `address.py` | `host:port` and its sockets |
| `ingress_config.py` | the types of one ingress's configuration |
| `platform_settings.py` | the reader of the platform's JSON |
| `ini_reader.py` | the reader of INI text for any set of section types |
| `quantities.py` | durations, sizes and shares with their units |

Each subsystem defines the types of the sections that configure it. `dockthread/section_registry.py`
lists all sections of the operator's file and reads the file.
"""
