//! Tests of [`Change`], the difference between two plans.

use std::time::{Duration, Instant};

use rstest::rstest;
use wisteriaglade_mesh::{Change, Destination, Plan, Pool, Rule, Table};

fn rule(prefix: &str, pool: &str) -> Rule {
    Rule {
        name: prefix.into(),
        host: "x.example".into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority: 0,
        max_attempts: 2,
        destinations: vec![Destination {
            pool: pool.into(),
            weight: 1.0,
        }],
    }
}

fn plan(version: u64, rules: &[(&str, &str)]) -> Plan {
    let pools = ["a", "b"].map(|name| Pool {
        name: name.into(),
        max_connections: 1,
        sharded: false,
    });
    Plan {
        version,
        pools: pools.into(),
        rules: rules
            .iter()
            .map(|(prefix, pool)| rule(prefix, pool))
            .collect(),
        ..Plan::default()
    }
}

/// Guards against a host that routes by other rules than the operator's plan
/// after it has applied a change.
#[rstest]
#[case::same(&[("/a/", "a")], &[("/a/", "a")])]
#[case::added(&[("/a/", "a")], &[("/a/", "a"), ("/b/", "b")])]
#[case::removed(&[("/a/", "a"), ("/b/", "b")], &[("/b/", "b")])]
#[case::moved(&[("/a/", "a"), ("/b/", "b")], &[("/a/", "b"), ("/b/", "b")])]
#[case::all(&[("/a/", "a")], &[("/c/", "a"), ("/d/", "b")])]
fn a_change_turns_the_earlier_plan_into_the_later_one(
    #[case] old: &[(&str, &str)],
    #[case] new: &[(&str, &str)],
) {
    let (old, new) = (plan(3, old), plan(8, new));

    let change = Change::between(&old, &new).expect("no duplicate rules");
    let result = change
        .apply(&old)
        .expect("the plan that the change applies to");

    assert_eq!(result.version, 8);
    assert_eq!(result.rules.len(), new.rules.len());
    let (result, expected) = (Table::new(&result), Table::new(&new));
    for path in ["/a/1", "/b/1", "/c/1", "/d/1"] {
        assert_eq!(
            result.find("x.example", path),
            expected.find("x.example", path)
        );
    }
}

/// Guards against a change that is applied to another plan than the one it was
/// computed from.
#[test]
fn a_change_of_another_plan_is_not_applied() {
    let change = Change::between(&plan(3, &[]), &plan(8, &[])).expect("a change");

    assert_eq!(change.apply(&plan(4, &[])), None);
}

/// Guards against a change that loses the order of two rules with the same host
/// name and path prefix.
#[test]
fn plans_with_duplicate_rules_have_no_change() {
    let duplicates = plan(8, &[("/a/", "a"), ("/a/", "b")]);

    assert_eq!(Change::between(&plan(3, &[]), &duplicates), None);
}

/// Guards against a quadratic comparison of rules, which blocks the leader for
/// seconds if a plan has thousands of rules.
#[test]
fn a_large_plan_is_compared_in_linear_time() {
    let large = |version, pool| {
        let names: Vec<String> = (0..40_000).map(|number| format!("/{number}/")).collect();
        let rules: Vec<_> = names.iter().map(|name| (name.as_str(), pool)).collect();
        plan(version, &rules)
    };
    let (old, new) = (large(3, "a"), large(8, "b"));

    let start = Instant::now();
    let change = Change::between(&old, &new).expect("a change");
    let result = change
        .apply(&old)
        .expect("the plan that the change applies to");

    // A quadratic comparison takes more than ten times as long.
    assert!(start.elapsed() < Duration::from_secs(1));
    assert_eq!(result.rules, new.rules);
}
