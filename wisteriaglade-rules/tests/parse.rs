//! Tests of `Set::parse`. They guard against an invalid file that is accepted, and
//! against a problem that is reported at the wrong position.

use std::time::Duration;

use rstest::rstest;
use wisteriaglade_rules::{Execution, Kind, Length, Set};

const RULE: &str = "ribeira lookup GET,HEAD /t/{key} repeat deadline=1500ms length=learned weight=4 # Conceição, hearings";

#[test]
fn reads_every_field() {
    let text = format!("# transcripts\n\n  {RULE}\r\n");

    let set = Set::parse(&text).unwrap();

    let rule = &set.rules()[0];
    assert_eq!(rule.member.as_str(), "ribeira");
    assert_eq!(rule.pool.as_str(), "lookup");
    assert_eq!(rule.methods.to_string(), "GET,HEAD");
    assert_eq!(rule.template.as_str(), "/t/{key}");
    assert_eq!(rule.execution, Execution::Repeat);
    assert_eq!(rule.deadline, Duration::from_millis(1500));
    assert_eq!(rule.length, Length::Learned);
    assert_eq!((rule.weight, rule.line), (4, 3));
    assert_eq!(rule.asked_by.as_str(), "Conceição");
    assert_eq!(rule.reason.as_str(), "hearings");
}

#[test]
fn a_printed_rule_parses_to_the_same_rule() {
    let set = Set::parse(RULE).unwrap();

    let again = Set::parse(&set.rules()[0].to_string()).unwrap();

    assert!(set.diff(&again).is_empty());
}

/// In the lines, `@` is replaced by valid fields before the execution, `$` by two
/// valid settings, and `~` by valid fields from the execution to the comment.
#[rstest]
#[case::member("ri/b lookup GET /t/{key} ~", 1, "a member of")]
#[case::pool("r łookup GET /t/{key} ~", 3, "a pool of")]
#[case::method("r l GET,GTE /t/{key} ~", 9, "a method out of")]
#[case::lower_case("r l get /t/{key} ~", 5, "a method out of")]
#[case::method_twice("r l GET,GET /t/{key} ~", 9, "each method once")]
#[case::relative("r l GET t/{key} ~", 9, "starts with")]
#[case::no_key("r l GET /t/* ~", 9, "one \"{key}\"")]
#[case::two_keys("r l GET /{key}/{key} ~", 16, "exactly one")]
#[case::early_rest("r l GET /{key}/**/a ~", 19, "nothing after")]
#[case::part_of_segment("r l GET /t-{key} ~", 10, "a segment")]
#[case::empty_segment("r l GET /t//{key} ~", 12, "a segment")]
#[case::dots("r l GET /%2e%2E/{key} ~", 10, "other than")]
#[case::encoding("r l GET /%4/{key} ~", 10, "percent-encoding")]
#[case::execution("@ twice deadline=1s length=short weight=1 # R", 16, "\"once\" or")]
#[case::zero_deadline("@ once deadline=0s length=short weight=1 # R", 30, "a deadline from")]
#[case::long_deadline("@ once deadline=25h length=short weight=1 # R", 30, "a deadline from")]
#[case::length("@ once deadline=1s length=big weight=1 # R", 40, "\"short\", ")]
#[case::weight("@ once $ weight=1001 # R", 52, "a weight from")]
#[case::no_weight("@ once $ # R", 44, "\"weight=\"")]
#[case::weight_twice("@ once $ weight=1 weight=2 # R", 54, "only once")]
#[case::setting("@ once $ weight=1 retry=2 # R", 54, "\"deadline=\"")]
#[case::short_line("r l GET # R", 8, "the path template")]
#[case::no_comment("@ once $ weight=1", 53, "a comment")]
#[case::no_name("@ once $ weight=1 # , tests", 55, "a comment")]
#[case::escape("@ once $ weight=1 # R\u{1b}[2J", 57, "without control")]
fn names_the_column_and_what_was_expected(
    #[case] line: &str,
    #[case] column: usize,
    #[case] expected: &str,
) {
    let line = line
        .replace('@', "r l GET /{key}")
        .replace('$', "deadline=1s length=long")
        .replace('~', "once deadline=1s length=short weight=1 # R");

    let error = Set::parse(&format!("\n{line}\n")).unwrap_err();

    let problem = &error.problems()[0];
    assert_eq!(
        (error.problems().len(), problem.line, problem.column),
        (1, 2, column),
        "{error}"
    );
    assert_eq!(problem.kind, Kind::Syntax);
    assert!(problem.expected.contains(expected), "{error}");
}

#[test]
fn lists_the_problems_of_every_line() {
    let text = format!("{RULE}\nr l GET /{{key}} often deadline=1 length=short weight=0 # R\nr\n");

    let error = Set::parse(&text).unwrap_err();

    let places: Vec<_> = error
        .problems()
        .iter()
        .map(|p| (p.line, p.column))
        .collect();
    assert_eq!(places, [(2, 16), (2, 31), (2, 53), (3, 2), (3, 2)]);
}

/// Guards against a change of the rules that is too large for one frame.
#[test]
fn a_file_that_no_frame_can_carry_is_refused() {
    let error = Set::parse(&"#\n".repeat(400 * 1024)).unwrap_err();

    assert_eq!(error.problems()[0].kind, Kind::Size);
}

#[test]
fn a_member_has_one_weight_for_each_pool() {
    let line = |pool, path, weight| {
        format!("r {pool} GET /{path}/{{key}} once deadline=1s length=short weight={weight} # R\n")
    };
    let valid = line("l", "a", 1) + &line("m", "b", 2);
    let invalid = line("l", "a", 1) + &line("l", "b", 2);

    let error = Set::parse(&invalid).unwrap_err();

    assert!(Set::parse(&valid).is_ok());
    assert_eq!(error.problems()[0].kind, Kind::Weight);
    assert!(
        error
            .to_string()
            .contains("line 2, column 55: expected weight 1 as in line 1"),
        "{error}"
    );
}
