//! The control state machine and the planner that proposes its changes.
