//! The rules file: parsing, checking, comparing and matching.
