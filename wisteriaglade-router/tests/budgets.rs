//! Tests of retry budgets and of the health of peers.

use std::time::Duration;

use rstest::rstest;
use wisteriaglade_router::{
    peer::{self, Connection, Health, Outcome},
    retry::{self, Budget},
};
use wisteriaglade_types::{Name, Node};

const MS: Duration = Duration::from_millis(1);

/// Guards against retries that amplify an overload: however many retries are
/// attempted, the budget grants 10% of the requests plus the reserve.
#[rstest]
#[case::no_requests(0, 3)]
#[case::few(20, 2 + 3)]
#[case::many(1000, 100 + 3)]
fn retries_are_limited_to_a_tenth_of_the_requests(#[case] requests: usize, #[case] granted: usize) {
    let mut budget = Budget::new(retry::Config::default());
    let member = Name::from("a");

    for _ in 0..requests {
        budget.deposit(MS, &member);
    }

    let retries = (0..2000)
        .filter(|_| budget.try_withdraw(MS, &member))
        .count();
    assert_eq!(retries, granted);
}

/// Guards against a burst of retries on tokens that were earned long ago, and
/// against a member that spends the budget of another.
#[test]
fn budgets_decay_and_are_separate() {
    let mut budget = Budget::new(retry::Config::default());
    let [a, b] = ["a", "b"].map(Name::from);
    for _ in 0..1000 {
        budget.deposit(MS, &a);
    }

    let other = (0..100).filter(|_| budget.try_withdraw(MS, &b)).count();
    let later = (0..100)
        .filter(|_| budget.try_withdraw(60_000 * MS, &a))
        .count();

    assert_eq!(other, 3);
    assert_eq!(later, 1 + 3, "100 tokens decay to 1.6 in six half-lives");
}

/// Guards against a division by zero that would make the budget unlimited.
#[test]
fn times_of_zero_are_accepted() {
    let mut budget = Budget::new(retry::Config {
        reserve_refill: Duration::ZERO,
        half_life: Duration::ZERO,
        ..retry::Config::default()
    });
    let member = Name::from("a");

    for _ in 0..20 {
        budget.deposit(MS, &member);
    }

    let retries = (0..100)
        .filter(|_| budget.try_withdraw(MS, &member))
        .count();
    assert_eq!(retries, 2 + 3);
}

/// Guards against the use of pooled connections after one of them was silent,
/// and against a node that stays unavailable after it answers again.
#[test]
fn a_silent_connection_leads_to_a_new_one_first() {
    let mut health = Health::new(peer::Config::default());
    let node = Node::new(7);

    let mut connections = vec![health.connection(MS, node)];
    for outcome in [Outcome::Silent, Outcome::Silent, Outcome::Failed] {
        health.record(MS, node, outcome);
        connections.push(health.connection(MS, node));
    }
    let trials = [300 * MS, 301 * MS, 600 * MS].map(|now| health.connection(now, node));
    health.record(600 * MS, node, Outcome::Refused);

    assert_eq!(
        connections,
        [
            Connection::Pooled,
            Connection::New,
            Connection::New,
            Connection::Unavailable
        ]
    );
    assert_eq!(
        trials,
        [Connection::New, Connection::Unavailable, Connection::New]
    );
    assert_eq!(health.connection(600 * MS, node), Connection::Pooled);
    assert_eq!(health.counts(node).silent, 2);
    assert_eq!(health.connection(MS, Node::new(8)), Connection::Pooled);
}
