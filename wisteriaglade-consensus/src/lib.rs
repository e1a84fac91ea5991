//! A replicated log: the step function and its storage.
