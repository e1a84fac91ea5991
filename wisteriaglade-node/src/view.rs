//! This node's copy of the control state.

use std::sync::Arc;

use wisteriaglade_consensus::{Entry, Payload};
use wisteriaglade_control::{Command, State};
use wisteriaglade_rules::Set;
use wisteriaglade_types::{Index, Version};

/// The control state as this node has applied it, with the parsed rules.
/// Requests are routed by it.
#[derive(Debug)]
pub(crate) struct View {
    /// The control state up to `applied`.
    pub(crate) state: State,
    /// The index of the last applied entry.
    pub(crate) applied: Index,
    /// The parsed rules in force.
    pub(crate) rules: Arc<Set>,
    /// The version of the rules in `rules`.
    rules_version: Version,
}

impl View {
    /// Creates a view of a state and parses its rules.
    pub(crate) fn new(state: State) -> Self {
        let mut view = Self {
            applied: state.index(),
            state,
            rules: Arc::new(Set::default()),
            rules_version: Version::default(),
        };
        view.parse_rules();
        view
    }

    /// Replaces the state by a snapshot, unless the snapshot is older.
    pub(crate) fn restore(&mut self, index: Index, state: State) {
        if index <= self.applied {
            return;
        }
        self.state = state;
        self.applied = index;
        self.parse_rules();
    }

    /// Applies committed entries. Entries that were applied before are
    /// skipped, and the batch ends at a gap. `parsed` holds the rules of the
    /// changes among the entries, see [`parse_rule_changes`].
    pub(crate) fn apply(&mut self, entries: &[Entry], parsed: &[(Index, Arc<Set>)]) {
        for entry in entries {
            if entry.index <= self.applied {
                continue;
            }
            if entry.index != self.applied.next() {
                break;
            }
            if let Payload::Data(data) = &entry.payload
                && let Some(command) = decode_command(data)
            {
                self.state.apply(entry.index, &command);
                self.use_parsed_rules(entry.index, parsed);
            }
            self.applied = entry.index;
        }
        self.parse_rules();
    }

    /// Uses the rules that were parsed from the entry, if it changed the
    /// rules.
    fn use_parsed_rules(&mut self, index: Index, parsed: &[(Index, Arc<Set>)]) {
        let (version, _) = self.state.rules();
        if version == self.rules_version {
            return;
        }
        if let Some((_, rules)) = parsed.iter().find(|(at, _)| *at == index) {
            self.rules = Arc::clone(rules);
            self.rules_version = version;
        }
    }

    /// Parses the rules of the state, unless the parsed ones have the same
    /// version.
    fn parse_rules(&mut self) {
        let (version, text) = self.state.rules();
        if version == self.rules_version {
            return;
        }
        // The text was checked before the change was accepted. If this version
        // of the program cannot parse it, no rules are in force: refusing
        // requests is safer than routing by old rules.
        self.rules = Arc::new(Set::parse(text).unwrap_or_default());
        self.rules_version = version;
    }
}

/// Parses the rules of the changes among the entries.
///
/// Parsing takes 33 µs a rule, so it is done before the view is locked.
/// Otherwise requests would wait for 161 ms with 5,000 rules.
pub(crate) fn parse_rule_changes(entries: &[Entry]) -> Vec<(Index, Arc<Set>)> {
    entries
        .iter()
        .filter_map(|entry| match &entry.payload {
            Payload::Data(data) => match decode_command(data)? {
                Command::ChangeRules { text, .. } => {
                    Some((entry.index, Arc::new(Set::parse(&text).unwrap_or_default())))
                }
                _ => None,
            },
            _ => None,
        })
        .collect()
}

/// Decodes the command of an entry. Returns `None` when this version of the
/// program does not know it.
pub(crate) fn decode_command(data: &[u8]) -> Option<Command> {
    postcard::from_bytes(data).ok()
}
