"""The command line, on click. An ingress that is started without a command never imports it."""
