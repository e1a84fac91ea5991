//! The daemon: listeners, drivers, settings, metrics and traces.
