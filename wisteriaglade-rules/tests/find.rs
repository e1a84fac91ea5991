//! Tests of `Set::find` and of conflicting rules. They guard against a request that
//! is matched to the wrong rule or key and so runs at the wrong owner or more than
//! once.

use std::{
    fmt::Write,
    time::{Duration, Instant},
};

use rstest::rstest;
use wisteriaglade_rules::{Kind, Set};

fn rule(pool: &str, methods: &str, template: &str) -> String {
    format!("m {pool} {methods} {template} repeat deadline=2s length=short weight=1 # Nia\n")
}

fn set() -> Set {
    let text = [
        rule("book", "POST,PUT", "/bookings/{key}"),
        rule("note", "GET", "/bookings/{key}/notes/*"),
        rule("under", "GET", "/bookings/{key}/**"),
        rule("today", "GET", "/bookings/{key}/notes/today"),
        rule("any", "GET", "/*/{key}"),
        rule("deep", "GET", "/*/{key}/**"),
        rule("space", "GET", "/spring%20fair/{key}"),
    ];
    Set::parse(&text.concat()).unwrap()
}

#[rstest]
#[case::literal("POST", "/bookings/17", Some(("book", "17")))]
#[case::second_method("PUT", "/bookings/17", Some(("book", "17")))]
#[case::other_method("DELETE", "/bookings/17", None)]
#[case::unknown_method("BREW", "/bookings/17", None)]
#[case::literal_before_exact("GET", "/bookings/17", Some(("under", "17")))]
#[case::rest("GET", "/bookings/17/a/b", Some(("under", "17")))]
#[case::one_segment("GET", "/bookings/17/notes/x", Some(("note", "17")))]
#[case::most_literal("GET", "/bookings/17/notes/today", Some(("today", "17")))]
#[case::exact_before_rest("GET", "/other/17", Some(("any", "17")))]
#[case::only_rest("GET", "/other/17/", Some(("deep", "17")))]
#[case::query("POST", "/bookings/17?a=/b/c", Some(("book", "17")))]
#[case::query_in_place_of_key("POST", "/bookings?/17", None)]
#[case::upper_case("POST", "/Bookings/17", None)]
#[case::trailing_slash("POST", "/bookings/17/", None)]
#[case::empty_key("POST", "/bookings/", None)]
#[case::relative("POST", "bookings/17", None)]
#[case::decoded_key("POST", "/bookings/caf%C3%A9%2f1", Some(("book", "café/1")))]
#[case::truncated_escape("POST", "/bookings/a%4", None)]
#[case::not_hexadecimal("POST", "/bookings/%+1", None)]
#[case::not_utf8("POST", "/bookings/%E9", None)]
#[case::invalid_key_under_a_wildcard("GET", "/%zz/%zz", None)]
#[case::escaped_literal("POST", "/b%6Fokings/17", Some(("book", "17")))]
#[case::escaped_template("GET", "/spring%20fair/1", Some(("space", "1")))]
#[case::escaped_slash_in_literal("POST", "/bookings%2F17", None)]
#[case::dots("GET", "/other/../bookings/17", None)]
#[case::escaped_dots("GET", "/bookings/17/%2E%2e/18", None)]
fn finds_the_most_precise_rule(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: Option<(&str, &str)>,
) {
    let set = set();

    let found = set.find(method, path);

    let found = found
        .as_ref()
        .map(|found| (found.rule.pool.as_str(), &*found.key));
    assert_eq!(found, expected);
}

#[rstest]
#[case::equal("GET", "/a/{key}", "GET,PUT", "/a/{key}", true)]
#[case::key_and_wildcard("GET", "/{key}/*", "GET", "/*/{key}", true)]
#[case::crossed("GET", "/a/{key}", "GET", "/{key}/b", true)]
#[case::escaped("GET", "/a/{key}", "GET", "/%61/{key}", true)]
#[case::rest("GET", "/a/{key}/**", "GET", "/{key}/b/**", true)]
#[case::other_method("GET", "/a/{key}", "PUT", "/a/{key}", false)]
#[case::other_literal("GET", "/a/{key}", "GET", "/b/{key}", false)]
#[case::other_length("GET", "/a/{key}", "GET", "/a/*/{key}", false)]
#[case::more_literal("GET", "/a/{key}", "GET", "/*/{key}", false)]
#[case::whole_and_rest("GET", "/a/{key}", "GET", "/a/{key}/**", false)]
fn equal_precision_is_a_conflict(
    #[case] methods: &str,
    #[case] template: &str,
    #[case] other_methods: &str,
    #[case] other_template: &str,
    #[case] conflict: bool,
) {
    let first = rule("a", methods, template);
    let second = rule("b", other_methods, other_template);

    for text in [format!("{first}\n{second}"), format!("{second}\n{first}")] {
        let Err(error) = Set::parse(&text) else {
            assert!(!conflict, "{text} was accepted");
            continue;
        };
        assert!(conflict, "{error}");
        assert_eq!(error.problems()[0].kind, Kind::Conflict);
        assert!(error.to_string().contains("line 3") && error.to_string().contains("line 1"));
    }
}

/// Guards against a deadline of one pool that is taken for another pool.
#[test]
fn the_longest_deadline_is_that_of_the_pool() {
    let text = [("p", "2s"), ("p", "30s"), ("q", "1m")]
        .iter()
        .enumerate()
        .fold(String::new(), |text, (i, (pool, deadline))| {
            text + &rule(pool, "GET", &format!("/{i}/{{key}}")).replace("2s", deadline)
        });

    let set = Set::parse(&text).unwrap();

    assert_eq!(set.longest_deadline("p"), Duration::from_secs(30));
    assert_eq!(set.longest_deadline("q"), Duration::from_mins(1));
    assert_eq!(set.longest_deadline("none"), Duration::ZERO);
}

/// Guards against a search or check whose cost grows with the number of rules. A
/// linear search would compare 5,000 templates for each request, 500 million in this
/// test.
#[test]
fn thousands_of_rules_are_found_by_their_segments() {
    let mut text = String::new();
    for i in 0..5000 {
        write!(
            text,
            "{}",
            rule("p", "GET", &format!("/v1/r{i}/{{key}}/*/**"))
        )
        .unwrap();
    }
    let set = Set::parse(&text).unwrap();
    let start = Instant::now();

    for i in 0..100_000 {
        let path = format!("/v1/r{}/k/x/y", i % 5000);
        assert_eq!(set.find("GET", &path).unwrap().rule.line, i % 5000 + 1);
    }

    assert!(
        start.elapsed() < Duration::from_secs(5),
        "{:?}",
        start.elapsed()
    );
}
