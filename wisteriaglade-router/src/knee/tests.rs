use rstest::rstest;

use super::Knee;

/// Guards against an estimate that leaves correctly announced slots, that does
/// not return to them without evidence against them, or that stays at wrongly
/// announced ones. Each level is a concurrency and its mean service time in
/// milliseconds.
#[rstest]
#[case::flat(&[(3, 10), (6, 10)], 6, 6, None)]
#[case::back_to_the_announcement(&[(3, 10), (5, 10)], 5, 6, Some(6))]
#[case::too_many_announced(&[(6, 10), (12, 20)], 12, 12, Some(6))]
#[case::too_few_announced(&[(6, 10), (12, 10)], 6, 6, Some(12))]
#[case::settled_away_from_it(&[(3, 10), (6, 10), (12, 20)], 6, 12, None)]
fn knee_moves_only_with_evidence(
    #[case] levels: &[(u32, u32)],
    #[case] current: u32,
    #[case] announced: u32,
    #[case] proposed: Option<u32>,
) {
    let mut knee = Knee::new(24);
    for (concurrency, time) in levels {
        for i in 0..200 {
            // Uniform between zero and twice the mean: a relative variance of
            // 1/3.
            let spread = f64::from(i) / 100.0;
            knee.observe(*concurrency, f64::from(*time) / 1000.0 * spread);
        }
    }

    assert_eq!(knee.propose(current, announced), proposed);
}
