//! What the leader has heard from the hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wisteriaglade_types::Name;

use crate::{Condition, Entry, Owner, Report};

/// How long a leader waits for the hosts' first reports before it takes a
/// missing one for gone. Hosts report several times in this time.
const COMPLETE: Duration = Duration::from_millis(2500);

/// How long a report of a former run of a process may be under way. Runs are
/// named by the time of day, which may be set back between two of them.
const LATE: Duration = Duration::from_secs(1);

/// How long a silent host stays in the directory. Other hosts see by
/// themselves whether they reach it.
const KEEP: Duration = Duration::from_secs(12);

/// The last report of a host.
#[derive(Debug, Clone)]
pub struct Record {
    /// The report.
    pub report: Report,
    /// When it arrived.
    pub seen: Duration,
}

/// The hosts that a leader has heard of. A new leader starts with none.
#[derive(Debug, Default)]
pub struct Roster {
    since: Duration,
    records: BTreeMap<Name, Record>,
    /// When a lease was last given for each target. It outlives the host's
    /// record: a process that has just restarted does not know its target yet.
    leases: BTreeMap<Owner, Duration>,
    /// Targets that no longer run.
    ended: BTreeSet<Owner>,
    revision: u64,
}

impl Roster {
    /// The roster of a leader that starts to lead.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            since: now,
            revision: 1,
            ..Self::default()
        }
    }

    /// When the leader began.
    #[must_use]
    pub fn since(&self) -> Duration {
        self.since
    }

    /// The last report of each host.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Targets that no longer run.
    #[must_use]
    pub fn ended(&self) -> &BTreeSet<Owner> {
        &self.ended
    }

    /// A number that changes whenever the directory does.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether every host had the time to report.
    #[must_use]
    pub fn is_complete(&self, now: Duration) -> bool {
        now.saturating_sub(self.since) >= COMPLETE
    }

    /// Takes a report. Returns whether it is the latest of its host.
    pub fn report(&mut self, now: Duration, report: Report) -> bool {
        if let Some(known) = self.records.get(&report.host)
            && known.report.session > report.session
            && now.saturating_sub(known.seen) < LATE
        {
            return false;
        }
        // An address belongs to one host at a time, so its former host is gone.
        let former: Vec<_> = self
            .records
            .iter()
            .filter(|(host, known)| {
                known.report.address == report.address
                    && **host != report.host
                    && known.report.session < report.session
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in former {
            if let Some(record) = self.records.remove(&host) {
                self.end(record.report.target.map(|target| target.owner));
            }
        }
        let before = self.records.get(&report.host);
        let old = before.and_then(|record| entry(&record.report));
        let new = entry(&report);
        if old != new {
            self.revision += 1;
        }
        let owner = old.map(|entry| entry.owner);
        let former = before.and_then(|record| record.report.target.as_ref()?.owner.clone().into());
        if let Some(target) = &report.target {
            if let Some(former) = owner.or(former)
                && former != target.owner
                && former.born <= target.owner.born
            {
                self.end(Some(former));
            }
            if target.condition == Condition::Gone {
                self.end(Some(target.owner.clone()));
            }
        }
        let record = Record { report, seen: now };
        self.records.insert(record.report.host.clone(), record);
        true
    }

    /// Notes that a lease for a target is given now.
    pub fn lease(&mut self, now: Duration, owner: &Owner) {
        self.leases.insert(owner.clone(), now);
    }

    /// When a lease for a target was last given. An earlier leader may have
    /// given one until this one began.
    #[must_use]
    pub fn leased(&self, owner: &Owner) -> Duration {
        self.leases.get(owner).copied().unwrap_or(self.since)
    }

    /// Drops hosts that have been silent for long and targets that no key
    /// range names any more.
    pub fn prune(&mut self, now: Duration, named: impl Fn(&Owner) -> bool) {
        let before = self.records.len();
        self.records.retain(|_, record| {
            let owner = record.report.target.as_ref().map(|target| &target.owner);
            now.saturating_sub(record.seen) < KEEP || owner.is_some_and(&named)
        });
        if before != self.records.len() {
            self.revision += 1;
        }
        self.leases.retain(|owner, _| named(owner));
        self.ended.retain(named);
    }

    /// The targets for the directory.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        let reports = self.records.values().map(|record| &record.report);
        reports.filter_map(entry).collect()
    }

    fn end(&mut self, owner: Option<Owner>) {
        if let Some(owner) = owner {
            self.ended.insert(owner);
            self.revision += 1;
        }
    }
}

/// The directory entry of a host with a target that runs.
fn entry(report: &Report) -> Option<Entry> {
    let target = report.target.as_ref()?;
    if target.condition == Condition::Gone {
        return None;
    }
    Some(Entry {
        owner: target.owner.clone(),
        pool: target.pool.clone(),
        address: report.address,
        data_centre: report.data_centre.clone(),
        slots: target.slots,
        ready: target.condition == Condition::Ready && !report.leaving,
    })
}
