//! Tests of the decoding of limits.

use http::{HeaderMap, HeaderValue};
use rstest::rstest;

use super::decode_limit;
use crate::header as names;

/// Guards against a malformed limit that counts as a limit, or as the end of one.
#[rstest]
#[case::usual("12.5", Ok(Some(12.5)))]
#[case::zero("0", Ok(Some(0.0)))]
#[case::with_spaces(" 3 ", Ok(Some(3.0)))]
#[case::negative("-1", Err("-1"))]
#[case::no_number("many", Err("many"))]
#[case::infinite("inf", Err("inf"))]
#[case::empty("", Err(""))]
fn limits_are_decimal_numbers(
    #[case] text: &'static str,
    #[case] expected: Result<Option<f64>, &str>,
) {
    let mut headers = HeaderMap::new();
    headers.insert(names::LIMIT, HeaderValue::from_static(text));

    assert_eq!(decode_limit(&headers), expected.map_err(str::to_owned));
}
