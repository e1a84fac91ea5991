//! Replicated records that keep a request from running twice.
