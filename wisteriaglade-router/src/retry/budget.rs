//! The retry budgets of all members.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::Name;

use super::{Config, bucket::Bucket};

/// The retry budgets of all members, each with a token bucket of its own:
/// requests earn tokens and each retry spends one.
#[derive(Debug)]
pub struct Budget {
    config: Config,
    members: BTreeMap<Name, Bucket>,
}

impl Budget {
    /// Creates budgets in which every member has a full reserve.
    #[must_use]
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            members: BTreeMap::new(),
        }
    }

    /// Records the first attempt of a request, which earns
    /// [`Config::ratio`] tokens for the member.
    pub fn deposit(&mut self, now: Duration, member: &Name) {
        let (config, bucket) = self.bucket(now, member);
        bucket.deposit(config, now);
    }

    /// Spends one token of the member and returns whether it had one, that is,
    /// whether the request may be retried.
    #[must_use]
    pub fn try_withdraw(&mut self, now: Duration, member: &Name) -> bool {
        let (config, bucket) = self.bucket(now, member);
        bucket.try_withdraw(config, now)
    }

    /// The bucket of a member. Members beyond the limit share the bucket with
    /// the empty name.
    fn bucket(&mut self, now: Duration, member: &Name) -> (&Config, &mut Bucket) {
        let separate =
            self.members.contains_key(member) || self.members.len() < self.config.max_members;
        let name = if separate {
            member.clone()
        } else {
            Name::from("")
        };
        let config = &self.config;
        let new = || Bucket::new(config, now);
        (config, self.members.entry(name).or_insert_with(new))
    }
}
