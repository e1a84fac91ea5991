//! Counters of each member's use of this node's target.

use std::{collections::BTreeMap, sync::atomic::AtomicU64};

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::{Registry, Unit},
};
use wisteriaglade_router::Usage;
use wisteriaglade_types::Name;

type Seconds = Counter<f64, AtomicU64>;

/// Counters by member. The admission reducer bounds the number of members.
#[derive(Debug, Default)]
pub(crate) struct Members {
    arrivals: Family<MemberLabels, Counter>,
    served: Family<MemberLabels, Counter>,
    busy: Family<MemberLabels, Seconds>,
    wait: Family<MemberLabels, Seconds>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MemberLabels {
    member: String,
}

impl Members {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "member_arrivals",
            "Requests of a member that reached the target's queue",
            self.arrivals.clone(),
        );
        registry.register(
            "member_served",
            "Requests of a member that the target answered",
            self.served.clone(),
        );
        registry.register_with_unit(
            "member_busy",
            "Time that requests of a member occupied slots of the target",
            Unit::Seconds,
            self.busy.clone(),
        );
        registry.register_with_unit(
            "member_wait",
            "Time that requests of a member waited for a slot of the target",
            Unit::Seconds,
            self.wait.clone(),
        );
    }

    /// Raises the counters to the totals of the admission reducer, which never
    /// decrease.
    pub(crate) fn update(&self, usages: &BTreeMap<Name, Usage>) {
        for (name, usage) in usages {
            let labels = MemberLabels {
                member: name.to_string(),
            };
            raise_to(&self.arrivals, &labels, usage.arrivals);
            raise_to(&self.served, &labels, usage.served);
            raise_seconds_to(&self.busy, &labels, usage.busy.as_secs_f64());
            raise_seconds_to(&self.wait, &labels, usage.wait.as_secs_f64());
        }
    }
}

/// Raises a counter to `total`.
fn raise_to(family: &Family<MemberLabels, Counter>, member: &MemberLabels, total: u64) {
    let counter = family.get_or_create(member);
    counter.inc_by(total.saturating_sub(counter.get()));
}

/// Raises a counter of seconds to `total`.
fn raise_seconds_to(family: &Family<MemberLabels, Seconds>, member: &MemberLabels, total: f64) {
    let counter = family.get_or_create(member);
    counter.inc_by((total - counter.get()).max(0.0));
}
