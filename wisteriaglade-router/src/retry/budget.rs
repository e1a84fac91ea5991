//! The budgets of all members.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::Name;

use super::{Config, bucket::Bucket};

/// A token bucket for each member. Requests earn tokens, retries spend them.
#[derive(Debug)]
pub struct Budget {
    config: Config,
    members: BTreeMap<Name, Bucket>,
}

impl Budget {
    /// Creates full budgets.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            members: BTreeMap::new(),
        }
    }

    /// Counts the first attempt of a request of a member.
    pub fn request(&mut self, now: Duration, member: &Name) {
        let (config, bucket) = self.bucket(now, member);
        bucket.request(config, now);
    }

    /// Whether a member may retry a request now. A positive answer spends a
    /// token.
    #[must_use]
    pub fn retry(&mut self, now: Duration, member: &Name) -> bool {
        let (config, bucket) = self.bucket(now, member);
        bucket.retry(config, now)
    }

    fn bucket(&mut self, now: Duration, member: &Name) -> (&Config, &mut Bucket) {
        let known = self.members.contains_key(member) || self.members.len() < self.config.members;
        let name = if known {
            member.clone()
        } else {
            Name::from("")
        };
        let config = &self.config;
        let new = || Bucket::new(config, now);
        (config, self.members.entry(name).or_insert_with(new))
    }
}
