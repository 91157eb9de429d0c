"""The command line, built on click. `python -m dockthread` without a command never imports it."""
