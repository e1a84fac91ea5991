//! Tests of the outcome of a request that was sent twice.

use http::{HeaderValue, Response, StatusCode};
use rstest::rstest;

use super::merge;
use crate::{
    header as names,
    target::{Error, Result},
};

/// How one copy of a request ended.
#[derive(Debug, Clone, Copy)]
enum Ending {
    Answered,
    Shed,
    Unsent,
    Broken,
    Foreign,
}
use Ending::{Answered, Broken, Foreign, Shed, Unsent};

fn outcome(ending: Ending) -> Result<Response<()>> {
    let mut response = Response::new(());
    match ending {
        Answered => {}
        Shed => {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            let not_run = HeaderValue::from_static("not-run");
            response.headers_mut().insert(names::OUTCOME, not_run);
        }
        Unsent => return Err(Error::Unsent(String::new())),
        Broken => return Err(Error::Broken(String::new())),
        Foreign => return Err(Error::Foreign("a copy")),
    }
    Ok(response)
}

/// Guards against `not-run` for a request of which one copy may have run, and
/// against a lost response.
#[rstest]
#[case::one_ran(Shed, Answered, Answered)]
#[case::one_ran_after_a_loss(Broken, Answered, Answered)]
#[case::both_shed(Shed, Shed, Shed)]
#[case::one_was_not_sent(Shed, Unsent, Shed)]
#[case::the_other_was_not_sent(Unsent, Shed, Shed)]
#[case::none_was_sent(Unsent, Unsent, Unsent)]
#[case::one_may_have_run(Shed, Broken, Broken)]
#[case::the_other_may_have_run(Broken, Shed, Broken)]
#[case::one_was_sent(Broken, Unsent, Broken)]
#[case::one_got_a_foreign_response(Shed, Foreign, Foreign)]
#[case::the_other_got_a_foreign_response(Foreign, Unsent, Foreign)]
fn a_request_did_not_run_only_if_neither_copy_did(
    #[case] first: Ending,
    #[case] second: Ending,
    #[case] expected: Ending,
) {
    let merged = merge(outcome(first), outcome(second));

    let status = |outcome: Result<Response<()>>| outcome.map(|response| response.status());
    assert_eq!(status(merged), status(outcome(expected)));
}
