//! Admission, fairness, limits, health and retries as a reducer without I/O.
